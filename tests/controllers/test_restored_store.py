"""Test the order of copies after the store came back from an older copy.

Guards against a host that ignores all that a restored store acknowledges, since its revisions are
lower than before.
"""

import eliot
import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspindle.controllers.placement.messages import SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.view.messages import (
    ExpireRetainedRecords,
    GetRevisions,
    GetSnapshot,
    GetTopicUpdate,
    RoutesChanged,
    SnapshotReceived,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import (
    CopyVersion,
    Record,
    RecordValue,
    Snapshot,
    TargetRecord,
    Topic,
    ZoneExclusion,
)
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.routes import RouteTable
from almondspindle.decisions.record_retention import REREGISTRATION_S
from tests.standins.revisions import at

CFG = NodeCfg(HostName("h0"), ZoneName("a"), "", "", "", "", 1, 2, 100, Bounds())
PEER = "10.0.0.2:7340"


class Host:
    """A view, and what it has published last by topic."""

    def __init__(self) -> None:
        self.published: dict[type, object] = {}
        self.view = ViewController(CFG, ManualClock(), self._keep)

    def _keep(self, publication: object) -> None:
        self.published[type(publication)] = publication

    def read(self, topic: Topic, revision, *records: Record, now: float = 1.0, source=STORE_SOURCE):
        snapshot = Snapshot(topic, revision, records)
        self.view.handle(SnapshotReceived(snapshot, source), now)

    def names(self, topic: Topic) -> set[str]:
        return {r.name for r in self.view.handle(GetSnapshot(topic), 1.0).records}


def target(name: str, revision=at(5), leaving: bool = False, started_at_ms: int = 7) -> Record:
    value: RecordValue = TargetRecord(
        TargetName(name), ServiceName("s"), f"10.1.0.{name[-1]}:80", ZoneName("a"), 8, leaving, 0.0,
        started_at_ms,
    )  # fmt: skip
    return Record(name, revision, value, f"{name} {leaving} {started_at_ms}".encode())


def zone(name: str) -> Record:
    return Record(name, at(6), ZoneExclusion(ZoneName(name)), name.encode())


def routes(version: int, revision) -> Record:
    return Record("main", revision, RouteTable(version, {}, {}), str(version).encode())


@pytest.mark.parametrize("source", [STORE_SOURCE, PEER])
def test_a_lower_revision_of_a_later_era_replaces_the_copy(source):
    host = Host()
    host.read(Topic.TARGETS, at(900, 1), target("t1", at(5, 1)))
    host.read(Topic.TARGETS, at(120, 2), target("t1", at(5, 2)), target("t2", at(110, 2)),
              source=source)  # fmt: skip
    assert host.names(Topic.TARGETS) == {"t1", "t2"}
    host.read(Topic.TARGETS, at(950, 1), target("t1", at(5, 1)))  # a late response
    assert host.names(Topic.TARGETS) == {"t1", "t2"}
    assert host.view.handle(GetRevisions(), 1.0)[Topic.TARGETS].current == at(120, 2)


def test_a_peer_of_the_era_before_gets_every_record_again():
    host = Host()
    host.read(Topic.TARGETS, at(120, 2), target("t1", at(5, 2)))
    since = CopyVersion(at(900, 1), at(800, 1))
    update = host.view.handle(GetTopicUpdate(Topic.TARGETS, since), 1.0)
    assert [change.record.name for change in update.changed] == ["t1"]
    assert update.unchanged == ()


def test_targets_that_the_restored_store_lacks_are_used_until_they_could_register_again():
    host = Host()
    host.read(Topic.TARGETS, at(900, 1), target("t1"), target("t2"))
    host.read(Topic.TARGETS, at(120, 2), target("t1"), now=5.0)
    assert host.names(Topic.TARGETS) == {"t1", "t2"}
    host.view.handle(ExpireRetainedRecords(), 5.0 + REREGISTRATION_S)
    assert host.names(Topic.TARGETS) == {"t1"}


def test_an_exclusion_that_the_restored_store_lacks_stays_until_it_could_be_written_again():
    host = Host()
    host.read(Topic.ZONES, at(900, 1), zone("a"))
    host.read(Topic.ZONES, at(120, 2), now=5.0)
    host.view.handle(ExpireRetainedRecords(), 5.0 + CFG.bounds.evacuation_s - 0.1)
    assert host.published[ZonesChanged] == ZonesChanged(frozenset({ZoneName("a")}))
    host.view.handle(ExpireRetainedRecords(), 5.0 + CFG.bounds.evacuation_s)
    assert host.published[ZonesChanged] == ZonesChanged(frozenset())


def test_the_route_table_in_use_is_not_replaced_by_the_older_one_of_the_restored_store():
    host = Host()
    host.read(Topic.ROUTES, at(900, 1), routes(17, at(800, 1)))
    host.read(Topic.ROUTES, at(120, 2), routes(3, at(100, 2)))
    newest = host.published[RoutesChanged]
    assert isinstance(newest, RoutesChanged)
    assert newest.table.version == 17
    host.read(Topic.ROUTES, at(130, 2), routes(21, at(130, 2)))
    newest = host.published[RoutesChanged]
    assert isinstance(newest, RoutesChanged)
    assert newest.table.version == 21


@pytest.mark.parametrize(("started_at_ms", "is_used"), [(7, False), (8, True)])
def test_a_target_that_was_leaving_stays_out_for_its_lifetime(started_at_ms, is_used):
    placement = PlacementController(CFG, ManualClock())

    def list_targets(*records: Record) -> None:
        values = {r.name: r.value for r in records if isinstance(r.value, TargetRecord)}
        placement.handle(TargetsChanged(values), 1.0)

    list_targets(target("t1", leaving=True), target("t2"))
    list_targets(target("t2"))
    list_targets(target("t1", started_at_ms=started_at_ms), target("t2"))
    select = SelectTarget(ServiceName("s"), "", "r-1", (TargetName("t2"),))
    assert placement.handle(select, 1.0).is_ok() is is_used


def test_the_log_tells_a_host_that_has_caught_up_from_one_that_ignores_what_it_reads():
    host, lines = Host(), []
    for topic in CFG.topics:
        host.read(topic, at(900, 1))
    eliot.add_destinations(lines.append)
    lines.clear()  # eliot passes on what was logged before
    try:
        for topic in CFG.topics:
            host.read(topic, at(120, 2), now=3.0 if topic is CFG.topics[0] else 4.0)
        host.read(Topic.TARGETS, at(950, 1), now=5.0)
    finally:
        eliot.remove_destination(lines.append)
    told = [line for line in lines if line["event"] in ("store_caught_up", "copy_ignored")]
    fields = ("event", "after_s", "topic", "found_era", "found", "era", "revision")
    assert [{k: line[k] for k in fields if k in line} for line in told] == [
        {"event": "store_caught_up", "after_s": 1.0, "era": 2},
        {"event": "copy_ignored", "topic": "targets", "found_era": 1, "found": 950, "era": 2,
         "revision": 120},
    ]  # fmt: skip


operations = st.lists(
    st.tuples(st.integers(0, 4), st.sampled_from(["write", "read", "pull", "restore"])),
    max_size=40,
)


@given(operations)
def test_hosts_never_return_to_an_earlier_era_and_agree_in_the_end(steps):
    hosts = [Host() for _ in range(5)]
    revision, saved, written = at(1, 1), at(1, 1), {"t0": target("t0", at(1, 1))}
    copy = dict(written)
    seen = [at(0)] * len(hosts)
    for number, step in steps:
        if step == "write":
            revision = at(revision.number + 1, revision.era)
            name = f"t{revision.number}{number}"
            written = {**written, name: target(name, revision)}
        elif step == "restore":
            revision, written = at(saved.number, revision.era + 1), dict(copy)
        elif step == "read":
            saved, copy = revision, dict(written)
            records = [
                Record(r.name, at(r.revision.number, revision.era), r.value, r.raw)
                for r in written.values()
            ]
            hosts[number].read(Topic.TARGETS, revision, *records)
        else:
            source = hosts[(number + 1) % len(hosts)].view.handle(GetSnapshot(Topic.TARGETS), 1.0)
            hosts[number].view.handle(SnapshotReceived(source, PEER), 1.0)
        for index, host in enumerate(hosts):
            current = host.view.handle(GetRevisions(), 1.0)[Topic.TARGETS].current
            assert current >= seen[index]
            seen[index] = current
    final = [
        Record(r.name, at(r.revision.number, revision.era), r.value, r.raw)
        for r in written.values()
    ]
    for host in hosts:
        host.read(Topic.TARGETS, revision, *final)
        host.view.handle(ExpireRetainedRecords(), 1.0 + REREGISTRATION_S)
        assert host.names(Topic.TARGETS) == set(written)
