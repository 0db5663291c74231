"""Records that can't be used, as the view keeps them and passes them on to peers."""

import asyncio
import zlib
from collections.abc import Iterator

import pytest
from eliot import add_destinations, remove_destination

from almondspindle.adapters.exchange.datagrams import decode_report, encode_report
from almondspindle.adapters.exchange.internal_server import NOT_FOUND
from almondspindle.adapters.exchange.topics import TopicClient, TopicServer, encode_update
from almondspindle.adapters.platform.base import StoreErrorCode
from almondspindle.controllers.view.messages import (
    ChangesReceived,
    GetRevisions,
    GetSnapshot,
    GetTopicUpdate,
    SnapshotReceived,
    TargetsChanged,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.events import RECORD_UNREADABLE
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import (
    CopyVersion,
    Record,
    RecordChange,
    Revision,
    Snapshot,
    Topic,
    TopicChanges,
    TopicUpdate,
)
from almondspindle.core.reports import HostReport
from almondspindle.decisions.peer_pull import RESPONSE_TIMEOUT_S
from almondspindle.platform.objects import decode_record
from tests.adapters.test_topic_transfer import CFG, serve_topics
from tests.standins.odd_objects import DEEP, ODD_REPLICAS, ODD_REVISIONS, REPLICA, stored
from tests.standins.revisions import at

PEER = "10.0.0.2:7340"
ODD = {**ODD_REPLICAS, "long": stored(b'"' + b"x" * 5000 + b'"', "odd")}


class Fleet:
    """The view of a host that reads the store, and that of a host that pulls from it."""

    def __init__(self) -> None:
        self.watcher, self.peer = make_view(), make_view()

    def read(self, revision: int, *raws: bytes) -> None:
        snapshot = Snapshot(
            Topic.TARGETS, at(revision), tuple(decode(raw, revision) for raw in raws)
        )
        self.watcher.handle(SnapshotReceived(snapshot, STORE_SOURCE), 1.0)

    def watch(self, revision: int, raw: bytes, removed: bool = False) -> None:
        changes = (RecordChange(decode(raw, revision), removed),)
        self.watcher.handle(
            ChangesReceived(TopicChanges(Topic.TARGETS, at(revision), changes)), 1.0
        )

    def pull(self) -> None:
        async def fetch() -> None:
            server, address = serve_topics(self.watcher)
            base = self.peer.handle(GetSnapshot(Topic.TARGETS), 1.0)
            result = await TopicClient(decode_record).fetch(address, base, RESPONSE_TIMEOUT_S)
            self.peer.handle(SnapshotReceived(result.ok, PEER), 1.0)
            server.close()

        asyncio.run(fetch())

    def names(self) -> list[set[str]]:
        """Return the names of the usable targets at the watcher and at the peer."""
        return [set(view.published[-1].targets) for view in (self.watcher, self.peer)]


class RecordingView(ViewController):
    """A view that keeps what it publishes."""

    def __init__(self) -> None:
        self.published: list[TargetsChanged] = []
        super().__init__(CFG, ManualClock(), self.published.append)  # type: ignore[arg-type]


def make_view() -> RecordingView:
    return RecordingView()


def decode(raw: bytes, revision: int) -> Record:
    record = decode_record(Topic.TARGETS, raw, at(revision))
    assert record is not None
    return record


def last_change(view: ViewController) -> Revision:
    return view.handle(GetRevisions(), 1.0)[Topic.TARGETS].last_change


@pytest.fixture
def unreadable_logged() -> Iterator[list[dict[str, object]]]:
    lines: list[dict[str, object]] = []

    def keep(line: dict[str, object]) -> None:
        if line.get("event") == RECORD_UNREADABLE.name:
            lines.append(line)

    add_destinations(keep)
    lines.clear()  # of what was logged before there was a destination
    yield lines
    remove_destination(keep)


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_a_peer_follows_the_list_past_an_odd_record(odd):
    fleet = Fleet()
    fleet.read(10, stored(REPLICA, "a"), odd)
    fleet.pull()
    assert fleet.names() == [{"a"}, {"a"}]
    fleet.watch(11, stored(REPLICA, "b", b"11"))
    fleet.pull()
    assert fleet.names() == [{"a", "b"}, {"a", "b"}]
    fleet.watch(12, odd.replace(b'"odd"', b'"b"'))
    fleet.pull()
    assert fleet.names() == [{"a"}, {"a"}]
    fleet.watch(13, odd, removed=True)
    fleet.watch(14, stored(REPLICA, "odd", b"14"))
    fleet.pull()
    assert fleet.names() == [{"a", "odd"}, {"a", "odd"}]


@pytest.mark.parametrize("rev", ODD_REVISIONS.values(), ids=ODD_REVISIONS)
def test_the_revision_of_a_record_does_not_raise_that_of_its_topic(rev):
    fleet = Fleet()
    fleet.read(10, stored(REPLICA, "a"), stored(REPLICA, "odd", rev))
    fleet.pull()
    assert (last_change(fleet.watcher), last_change(fleet.peer)) == (at(10), at(10))
    revisions = {"targets": last_change(fleet.watcher)}
    report = HostReport(HostName("h"), PEER, 1, ZoneName("a"), revisions=revisions)
    assert decode_report(encode_report(report)) == report


def test_a_change_after_the_first_page_is_believed_by_a_peer():
    fleet = Fleet()
    newer = decode(stored(REPLICA, "b", b"12"), 13)
    snapshot = Snapshot(Topic.TARGETS, at(10), (decode(stored(REPLICA, "a"), 10), newer))
    fleet.watcher.handle(SnapshotReceived(snapshot, STORE_SOURCE), 1.0)
    fleet.pull()
    assert fleet.names() == [{"a", "b"}, {"a", "b"}]


def test_an_odd_record_is_logged_once_a_change(unreadable_logged):
    fleet = Fleet()
    odd = stored(REPLICA, "odd", b"9" * 400)
    fleet.read(10, odd)
    for revision in (11, 12):  # the list is read again
        fleet.read(revision, odd)
    assert len(unreadable_logged) == 1
    assert last_change(fleet.watcher) == at(10)
    fleet.watch(13, stored(REPLICA, "odd", b"8" * 400))
    assert len(unreadable_logged) == 2


def test_the_log_of_an_odd_record_is_bounded(unreadable_logged):
    Fleet().read(10, stored({**REPLICA, "state": "x" * 100_000}, "r" * 100_000))
    assert len(str(unreadable_logged)) < 1000


@pytest.mark.parametrize("body", [b"", b"x", DEEP, b"\x91" * 5000])
def test_a_malformed_update_of_a_peer_is_an_error_result(body):
    client = TopicClient(decode_record)
    result = client._decode(Snapshot(Topic.TARGETS, at(0), ()), body)
    assert result.error.code is StoreErrorCode.MALFORMED


def test_a_deeply_nested_update_of_a_peer_is_an_error_result():

    body = zlib.compress(b"\x81\xa1x" + b"\x91" * 5000 + b"\x01")
    result = TopicClient(decode_record)._decode(Snapshot(Topic.TARGETS, at(0), ()), body)
    assert result.error.code is StoreErrorCode.MALFORMED


def test_an_update_for_a_host_without_a_copy_names_no_unchanged_records():
    fleet = Fleet()
    fleet.read(10, *(stored(REPLICA, "odd", rev) for rev in ODD_REVISIONS.values()))
    update = fleet.watcher.handle(GetTopicUpdate(Topic.TARGETS, CopyVersion()), 1.0)
    assert update.unchanged == ()
    assert encode_update(update)


@pytest.mark.parametrize(
    "path",
    ["targets/" + "9" * 5000 + "/0", "targets/0/²", "targets/-1/0", "targets/0", "x/0/0", ""],
)
def test_a_peer_that_asks_for_an_odd_version_is_told_that_there_is_none(path):
    async def get_update(topic: Topic, since: CopyVersion) -> TopicUpdate:
        return TopicUpdate(topic, at(1), ())

    assert asyncio.run(TopicServer(get_update).respond(path)) == NOT_FOUND
