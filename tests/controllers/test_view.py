"""Test a host's copy of the platform's records."""

import eliot
import pytest

from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ExpireRetainedRecords,
    GetRevisions,
    GetSnapshot,
    GetStoreContact,
    GetTopicUpdate,
    PeerContactReported,
    PeerCopiesReported,
    Publication,
    ReserveStoreCall,
    SnapshotReceived,
    StoreCallFailed,
    TargetsChanged,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import (
    CopyVersion,
    Record,
    RecordChange,
    Snapshot,
    TargetRecord,
    Topic,
    TopicChanges,
)
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.reports import StoreContact
from almondspindle.decisions.record_retention import REREGISTRATION_S
from tests.standins.revisions import at

CFG = NodeCfg(HostName("h0"), ZoneName("a"), "", "", "", "", 1, 2, 100, Bounds(drain_s=2.0))
PEER = "10.0.0.2:7340"


def make_record(name: str, revision: int = 5) -> Record:
    value = TargetRecord(
        TargetName(name), ServiceName("s"), "10.1.0.1:80", ZoneName("a"), 8, False, 0.0
    )
    return Record(name, at(revision), value)


def make_view(*names: str) -> tuple[ViewController, list[Publication]]:
    published: list[Publication] = []
    view = ViewController(CFG, ManualClock(), published.append)
    records = tuple(make_record(name) for name in names)
    view.handle(SnapshotReceived(Snapshot(Topic.TARGETS, at(10), records), STORE_SOURCE), 1.0)
    return view, published


def target_names(published: list[Publication]) -> set[str]:
    last = published[-1]
    assert isinstance(last, TargetsChanged)
    return set(last.targets)


def removal(name: str, revision: int) -> ChangesReceived:
    change = RecordChange(make_record(name), removed=True)
    return ChangesReceived(TopicChanges(Topic.TARGETS, at(revision), (change,)))


def test_target_removed_soon_after_store_recovery_is_retained_for_less_than_drain_time():
    view, published = make_view("t0", "t1")
    view.handle(StoreCallFailed(Topic.TARGETS, "timed out"), 5.0)
    view.handle(ChangesReceived(TopicChanges(Topic.TARGETS, at(12), ())), 8.0)
    view.handle(removal("t0", 13), 8.1)
    assert target_names(published) == {"t0", "t1"}
    view.handle(ExpireRetainedRecords(), 8.1 + 2.0 - 0.3)
    assert target_names(published) == {"t1"}


def test_target_removed_during_outage_is_retained_until_it_could_register_again():
    view, published = make_view("t0", "t1")
    view.handle(StoreCallFailed(Topic.TARGETS, "down"), 5.0)
    view.handle(removal("t0", 12), 8.0)
    view.handle(ExpireRetainedRecords(), 8.0 + REREGISTRATION_S - 0.01)
    assert target_names(published) == {"t0", "t1"}
    view.handle(ExpireRetainedRecords(), 8.0 + REREGISTRATION_S)
    assert target_names(published) == {"t1"}


def test_target_removed_at_a_peer_is_not_retained_while_this_host_cannot_reach_the_store():
    view, published = make_view("t0", "t1")
    view.handle(StoreCallFailed(Topic.TARGETS, "refused"), 5.0)
    view.handle(SnapshotReceived(Snapshot(Topic.TARGETS, at(12), (make_record("t1"),)), PEER), 6.0)
    assert target_names(published) == {"t1"}


def test_records_retained_by_a_peer_expire_here_too():
    peer, _ = make_view("t0", "t1")
    peer.handle(StoreCallFailed(Topic.TARGETS, "down"), 5.0)
    peer.handle(removal("t0", 12), 8.0)
    sent_snapshot = peer.handle(GetSnapshot(Topic.TARGETS), 8.5)
    view, published = make_view("t0", "t1")
    view.handle(SnapshotReceived(sent_snapshot, PEER), 8.6)
    assert target_names(published) == {"t0", "t1"}
    view.handle(ExpireRetainedRecords(), 8.6 + REREGISTRATION_S)
    assert target_names(published) == {"t1"}


@pytest.mark.parametrize(
    ("peer_reaches_store", "expected"), [(True, {"t1"}), (False, {"t0", "t1"})]
)
def test_a_record_that_a_peer_retains_expires_at_a_host_that_the_store_refuses(
    peer_reaches_store, expected
):
    peer, _ = make_view("t0", "t1")
    peer.handle(StoreCallFailed(Topic.TARGETS, "down"), 5.0)
    peer.handle(removal("t0", 12), 8.0)
    if not peer_reaches_store:
        peer.handle(StoreCallFailed(Topic.TARGETS, "down"), 8.0)
    update = peer.handle(GetTopicUpdate(Topic.TARGETS, CopyVersion()), 8.1)
    view, published = make_view("t0", "t1")
    view.handle(StoreCallFailed(Topic.TARGETS, "refused"), 5.0)
    records = tuple(change.record for change in update.changed)
    snapshot = Snapshot(
        Topic.TARGETS, update.revision, records, update.retained, update.retention_is_final
    )
    view.handle(SnapshotReceived(snapshot, PEER), 8.1)
    view.handle(ExpireRetainedRecords(), 8.0 + REREGISTRATION_S + 0.1)
    assert target_names(published) == expected


@pytest.mark.parametrize(
    ("unbroken_s", "response_age_s", "expected"),
    [
        (30.0, 0.5, {"t1"}),  # the store served the peer all the time
        (30.0, 5.0, {"t0", "t1"}),  # it has not responded to the peer since this host lost it
        (2.0, 0.5, {"t0", "t1"}),  # the peer had lost it, too
    ],
)
def test_a_target_removed_while_only_this_host_lacked_the_store_is_not_retained(
    unbroken_s, response_age_s, expected
):
    view, published = make_view("t0", "t1")
    view.handle(StoreCallFailed(Topic.ROUTES, "reset"), 5.0)
    contact = StoreContact(unbroken_s, response_age_s)
    view.handle(PeerContactReported(HostName("h1"), contact), 8.9)
    view.handle(removal("t0", 13), 9.0)
    assert target_names(published) == expected


@pytest.mark.parametrize(
    ("last_change", "known_from", "age_s"),
    [(9, 3, 0.5), (10, 10, 0.5), (11, 3, 3.0), (9, 11, 3.0)],
)
def test_a_copy_is_as_old_as_that_of_a_peer_all_of_whose_changes_it_includes(
    last_change, known_from, age_s
):
    view, _ = make_view("t0")  # read at 1.0, at revision 10
    reported = PeerCopiesReported(
        {"targets": at(last_change)}, {"targets": 0.5}, {"targets": at(known_from)}
    )
    view.handle(reported, 4.0)
    assert view.handle(GetRevisions(), 4.0)[Topic.TARGETS].age_s == age_s


def test_a_response_about_one_topic_confirms_the_copies_of_its_revision():
    view, _ = make_view("t0")
    view.handle(SnapshotReceived(Snapshot(Topic.ZONES, at(12), ()), STORE_SOURCE), 2.0)
    view.handle(ChangesReceived(TopicChanges(Topic.ZONES, at(12), ())), 5.0)
    ages = {topic: each.age_s for topic, each in view.handle(GetRevisions(), 5.0).items()}
    assert (ages[Topic.ZONES], ages[Topic.TARGETS]) == (0.0, 4.0)
    view.handle(ChangesReceived(TopicChanges(Topic.TARGETS, at(12), ())), 6.0)
    view.handle(ChangesReceived(TopicChanges(Topic.TARGETS, at(12), ())), 9.0)
    ages = {topic: each.age_s for topic, each in view.handle(GetRevisions(), 9.0).items()}
    assert (ages[Topic.ZONES], ages[Topic.TARGETS]) == (0.0, 0.0)


def test_the_contact_with_the_store_is_reported_and_ends_with_a_failed_call():
    view, _ = make_view("t0")
    view.handle(ChangesReceived(TopicChanges(Topic.TARGETS, at(12), ())), 4.0)
    assert view.handle(GetStoreContact(), 6.0) == StoreContact(5.0, 2.0)
    view.handle(StoreCallFailed(Topic.ROUTES, "reset"), 7.0)
    assert view.handle(GetStoreContact(), 7.0) is None


def test_the_log_shows_why_a_host_is_behind_the_store():
    view, _ = make_view("t0")
    lines: list[dict[str, object]] = []
    eliot.add_destinations(lines.append)
    lines.clear()  # eliot passes on what was logged before
    try:
        view.handle(StoreCallFailed(Topic.ROUTES, "reset"), 5.0)
        view.handle(StoreCallFailed(Topic.ZONES, "reset"), 5.0)
        assert view.handle(ReserveStoreCall(Topic.ZONES, 3), 5.1) == 0.0
        view.handle(ChangesReceived(TopicChanges(Topic.ZONES, at(12), ())), 5.2)
    finally:
        eliot.remove_destination(lines.append)
    fields = ("event", "topic", "reason", "caller", "failures", "waited_s", "sharers", "after_s")
    assert [{k: line[k] for k in fields if k in line} for line in lines] == [
        {"event": "store_lost", "topic": "routes", "reason": "reset"},
        {"event": "store_call_failed", "topic": "routes", "reason": "reset"},
        {"event": "store_call_failed", "topic": "zones", "reason": "reset"},
        {"event": "store_probed", "caller": "zones", "failures": 1, "waited_s": 0.1, "sharers": 3},
        {"event": "store_back", "after_s": 0.2},
    ]
