"""What a host believes of the platform's records."""

from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ExpireRetainedRecords,
    GetSnapshot,
    Publication,
    SnapshotReceived,
    StoreCallFailed,
    TargetsChanged,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import (
    Record,
    RecordChange,
    Snapshot,
    TargetRecord,
    Topic,
    TopicChanges,
)
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.decisions.record_retention import REREGISTRATION_S

CFG = NodeCfg(HostName("h0"), ZoneName("a"), "", "", "", "", 1, 2, 100, Bounds(drain_s=2.0))
PEER = "10.0.0.2:7340"


def record(name: str, revision: int = 5) -> Record:
    value = TargetRecord(
        TargetName(name), ServiceName("s"), "10.1.0.1:80", ZoneName("a"), 8, False, 0.0
    )
    return Record(name, revision, value)


def view(*names: str) -> tuple[ViewController, list[Publication]]:
    told: list[Publication] = []
    found = ViewController(CFG, ManualClock(), told.append)
    records = tuple(record(name) for name in names)
    found.handle(SnapshotReceived(Snapshot(Topic.TARGETS, 10, records), STORE_SOURCE), 1.0)
    return found, told


def names(told: list[Publication]) -> set[str]:
    last = told[-1]
    assert isinstance(last, TargetsChanged)
    return set(last.targets)


def removed(name: str, revision: int) -> ChangesReceived:
    change = RecordChange(record(name), removed=True)
    return ChangesReceived(TopicChanges(Topic.TARGETS, revision, (change,)))


def test_a_target_that_leaves_soon_after_the_stores_return_gets_no_work_for_long():
    found, told = view("t0", "t1")
    found.handle(StoreCallFailed(Topic.TARGETS, "silent"), 5.0)
    found.handle(ChangesReceived(TopicChanges(Topic.TARGETS, 12, ())), 8.0)
    found.handle(removed("t0", 13), 8.1)
    assert names(told) == {"t0", "t1"}
    found.handle(ExpireRetainedRecords(), 8.1 + 2.0 - 0.3)
    assert names(told) == {"t1"}


def test_a_target_that_lapsed_during_the_outage_is_used_until_a_while_after_it():
    found, told = view("t0", "t1")
    found.handle(StoreCallFailed(Topic.TARGETS, "down"), 5.0)
    found.handle(removed("t0", 12), 8.0)
    found.handle(ExpireRetainedRecords(), 8.0 + REREGISTRATION_S - 0.01)
    assert names(told) == {"t0", "t1"}
    found.handle(ExpireRetainedRecords(), 8.0 + REREGISTRATION_S)
    assert names(told) == {"t1"}


def test_a_target_that_a_peer_no_longer_holds_is_gone_though_this_host_is_refused():
    found, told = view("t0", "t1")
    found.handle(StoreCallFailed(Topic.TARGETS, "refused"), 5.0)
    found.handle(SnapshotReceived(Snapshot(Topic.TARGETS, 12, (record("t1"),)), PEER), 6.0)
    assert names(told) == {"t1"}


def test_what_lapses_at_a_peer_lapses_here():
    peer, _ = view("t0", "t1")
    peer.handle(StoreCallFailed(Topic.TARGETS, "down"), 5.0)
    peer.handle(removed("t0", 12), 8.0)
    told_to_others = peer.handle(GetSnapshot(Topic.TARGETS), 8.5)
    found, told = view("t0", "t1")
    found.handle(SnapshotReceived(told_to_others, PEER), 8.6)
    assert names(told) == {"t0", "t1"}
    found.handle(ExpireRetainedRecords(), 8.6 + REREGISTRATION_S)
    assert names(told) == {"t1"}
