"""What a host may conclude from the positions of its peers' copies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.controllers.view.messages import (
    ChangesReceived,
    GetRevisions,
    GetSnapshot,
    PeerCopiesReported,
    SnapshotReceived,
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
from tests.standins.revisions import at

CFG = NodeCfg(HostName("h0"), ZoneName("a"), "", "", "", "", 1, 2, 100, Bounds())
TOPIC = Topic.TARGETS
PEER = "10.0.0.2:7340"
HOSTS = 2
Content = frozenset[tuple[str, bytes]]


class ModelStore:
    """The records of a topic, all their changes in this era, and the content at each time."""

    def __init__(self) -> None:
        self.revision = at(1, era=1)
        self.records: dict[str, Record] = {}
        self.changes: list[RecordChange] = []
        self.oldest = self.revision
        self.contents: list[Content] = []
        self.save()

    def save(self) -> None:
        self.saved = (self.revision, dict(self.records))

    def restore(self) -> None:
        revision, records = self.saved
        self.revision = self.oldest = at(revision.number, self.revision.era + 1)
        self.records = {
            name: Record(name, at(r.revision.number, self.revision.era), r.value, r.raw)
            for name, r in records.items()
        }
        self.changes = []

    def change(self, name: str, is_removal: bool) -> None:
        if is_removal and name not in self.records:
            return
        self.revision = at(self.revision.number + 1, self.revision.era)
        value = TargetRecord(
            TargetName(name), ServiceName("s"), "10.1.0.1:80", ZoneName("a"), 8, False, 0.0
        )
        record = Record(name, self.revision, value, f"{self.revision}".encode())
        self.changes.append(RecordChange(record, is_removal))
        if is_removal:
            del self.records[name]
        else:
            self.records[name] = record


class ModelFleet:
    """Hosts that read, watch, pull and report one after the other, in simulated time."""

    def __init__(self) -> None:
        self.store = ModelStore()
        self.views = [self._start() for _ in range(HOSTS)]
        self.now = 0

    def _start(self) -> ViewController:
        return ViewController(CFG, ManualClock(), lambda _: None)

    def play(self, step: str, host: int, name: str) -> None:
        view, peer = self.views[host], self.views[(host + 1) % HOSTS]
        actions = {
            "write": lambda: self.store.change(name, is_removal=False),
            "remove": lambda: self.store.change(name, is_removal=True),
            "save": self.store.save,
            "restore": self.store.restore,
            "restart": lambda: self.views.__setitem__(host, self._start()),
            "read": lambda: self._read(view),
            "watch": lambda: self._watch(view),
            "pull": lambda: view.handle(
                SnapshotReceived(peer.handle(GetSnapshot(TOPIC), self.now), PEER), self.now
            ),
            "report": lambda: self._report(peer, view),
        }
        self.now += 1
        actions[step]()
        self.store.contents.append(_content(self.store.records.values()))

    def _read(self, view: ViewController) -> None:
        snapshot = Snapshot(TOPIC, self.store.revision, tuple(self.store.records.values()))
        view.handle(SnapshotReceived(snapshot, STORE_SOURCE), self.now)

    def _watch(self, view: ViewController) -> None:
        since = view.handle(GetRevisions(), self.now)[TOPIC].current
        if not self.store.oldest <= since <= self.store.revision:
            return
        changes = tuple(c for c in self.store.changes if c.record.revision > since)
        view.handle(ChangesReceived(TopicChanges(TOPIC, self.store.revision, changes)), self.now)

    def _report(self, sender: ViewController, receiver: ViewController) -> None:
        copy = sender.handle(GetRevisions(), self.now)[TOPIC]
        if copy.age_s < self.now + 1:
            reported = PeerCopiesReported(
                {TOPIC: copy.last_change}, {TOPIC: copy.age_s}, {TOPIC: copy.known_from}
            )
            receiver.handle(reported, self.now)

    def check(self) -> None:
        """Check that each copy has what the store had when it is said to have confirmed it."""
        for view in self.views:
            age_s = view.handle(GetRevisions(), self.now)[TOPIC].age_s
            if age_s > self.now:
                continue
            snapshot = view.handle(GetSnapshot(TOPIC), self.now)
            kept = [r for r in snapshot.records if r.name not in snapshot.retained]
            confirmed_at = int(self.now - age_s)
            assert _content(kept) in self.store.contents[max(0, confirmed_at - 1) :]


def _content(records) -> Content:
    return frozenset((record.name, record.raw) for record in records)


STEPS = [
    "write",
    "remove",
    "save",
    "restore",
    "restart",
    *3 * ["read"],
    "watch",
    "pull",
    *3 * ["report"],
]
steps = st.lists(
    st.tuples(st.sampled_from(STEPS), st.integers(0, HOSTS - 1), st.sampled_from("xy")),
    min_size=5,
    max_size=25,
)


@settings(max_examples=1000, deadline=None)
@given(steps)
def test_a_copy_that_counts_as_confirmed_has_all_changes_until_then(played):
    """Guards against taking a peer's older copy for as current as a newer one (DRAIN, CONFIG)."""
    fleet = ModelFleet()
    for step, host, name in played:
        fleet.play(step, host, name)
        fleet.check()


def test_a_list_says_nothing_of_what_was_removed_before_it():
    fleet = ModelFleet()
    for step, host, name in [
        ("write", 0, "x"), ("write", 0, "y"), ("read", 0, ""), ("remove", 0, "y"),
        ("read", 1, ""), ("report", 0, ""),
    ]:  # fmt: skip
        fleet.play(step, host, name)
    assert fleet.views[0].handle(GetRevisions(), fleet.now)[TOPIC].age_s == 3
    fleet.check()
