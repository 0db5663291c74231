"""The controller that owns this host's copy of the platform's records."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    ChangesRead,
    GetRevisions,
    GetRouteTable,
    GetSnapshot,
    HostsChanged,
    LapseDue,
    Publication,
    ReachesStore,
    RoutesChanged,
    SnapshotRead,
    StoreFailed,
    TargetsChanged,
    TopicRevision,
    ZonesChanged,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    RECORD_LAPSED,
    RECORD_UNREADABLE,
    STORE_BACK,
    STORE_LOST,
    VIEW_CHANGED,
)
from almondspindle.core.inventory import (
    HostRecord,
    Record,
    RecordValue,
    Snapshot,
    TargetRecord,
    Topic,
    UnreadableRecord,
    ZoneExclusion,
)
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.routes import RouteTable
from almondspindle.decisions.record_retention import (
    StoreAvailability,
    after_failure,
    after_success,
    retain_until,
)

STORE_SOURCE = "store"


@dataclass(slots=True)
class _Held:
    """The records of one topic; `lapsed` gives until when missing ones are still used."""

    revision: int = 0
    changed: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)


class ViewController(Controller):
    """Own the records of all topics. A topic's revision never falls.

    The store's revision orders all of its states, so of two copies of a topic the one with the
    higher revision is the newer one, whether it came from the store or from a peer.
    """

    def __init__(self, cfg: NodeCfg, clock: Clock, publish: Callable[[Publication], None]) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._publish = publish
        self._held = {topic: _Held() for topic in Topic}
        self._contact = StoreAvailability()
        self._revision_at_return = 0
        self._table: RouteTable | None = None

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._cfg = msg.cfg

    @handle.register
    def _(self, msg: SnapshotRead, now: float) -> None:
        snapshot = msg.snapshot
        is_from_store = msg.source == STORE_SOURCE
        if is_from_store:
            self._note_answer(snapshot.revision, now)
        held = self._held[snapshot.topic]
        if snapshot.revision < held.revision:
            return
        wanted = {record.name: record for record in snapshot.records}
        missing = [name for name in held.records if name not in wanted]
        newest = max((record.revision for record in wanted.values()), default=0)
        changed = snapshot.revision if missing else newest
        is_first = held.revision == 0
        for name in missing:
            # What a peer no longer holds has gone by that peer's own word of the store.
            until = self._lapse_until(snapshot.topic, now) if is_from_store else None
            self._remove(held, snapshot.topic, name, until, now)
        for record in wanted.values():
            self._put(held, snapshot.topic, record)
        for name, left_s in snapshot.retained.items():
            held.lapsed[name] = now + left_s
        held.revision = snapshot.revision
        if changed > held.changed or is_first:
            held.changed = max(changed, held.changed)
            self._announce(snapshot.topic, held, msg.source)

    @handle.register
    def _(self, msg: ChangesRead, now: float) -> None:
        changes = msg.changes
        self._note_answer(changes.revision, now)
        held = self._held[changes.topic]
        if changes.revision <= held.revision:
            return
        for change in changes.changes:
            if change.removed:
                until = self._lapse_until(changes.topic, now)
                self._remove(held, changes.topic, change.record.name, until, now)
            else:
                self._put(held, changes.topic, change.record)
        held.revision = changes.revision
        if changes.changes:
            held.changed = changes.revision
            self._announce(changes.topic, held, STORE_SOURCE)

    @handle.register
    def _(self, msg: StoreFailed, now: float) -> None:
        if self._contact.failing_since is None:
            emit(STORE_LOST, topic=msg.topic, reason=msg.reason)
        self._contact = after_failure(self._contact, now)

    @handle.register
    def _(self, msg: LapseDue, now: float) -> None:
        for topic, held in self._held.items():
            due = [name for name, until in held.lapsed.items() if now >= until]
            if not due or self._contact.failing_since is not None:
                continue
            for name in due:
                held.lapsed.pop(name)
                held.records.pop(name, None)
            held.changed = held.revision
            self._announce(topic, held, STORE_SOURCE)

    @handle.register
    def _(self, msg: GetRevisions, now: float) -> Mapping[Topic, TopicRevision]:
        return {t: TopicRevision(held.revision, held.changed) for t, held in self._held.items()}

    @handle.register
    def _(self, msg: ReachesStore, now: float) -> bool:
        return self._contact.failing_since is None

    @handle.register
    def _(self, msg: GetSnapshot, now: float) -> Snapshot:
        # Lapsed records are included: whoever asks may not know of the outage.
        held = self._held[msg.topic]
        lapsing = {name: max(0.0, until - now) for name, until in held.lapsed.items()}
        return Snapshot(msg.topic, held.revision, tuple(held.records.values()), lapsing)

    @handle.register
    def _(self, msg: GetRouteTable, now: float) -> RouteTable | None:
        return self._table

    def _note_answer(self, revision: int, now: float) -> None:
        if self._contact.failing_since is not None:
            emit(STORE_BACK, after_s=round(now - self._contact.failing_since, 3))
            self._revision_at_return = revision
        self._contact = after_success(self._contact, now)

    def _put(self, held: _Held, topic: Topic, record: Record) -> None:
        if isinstance(record.value, UnreadableRecord):
            emit(RECORD_UNREADABLE, topic=topic, name=record.name, reason=record.value.reason)
        held.lapsed.pop(record.name, None)
        held.records[record.name] = record

    def _lapse_until(self, topic: Topic, now: float) -> float | None:
        if topic is not Topic.TARGETS:
            return None
        is_recent = self._held[topic].revision >= self._revision_at_return
        return retain_until(self._contact, now, is_recent, self._cfg.bounds.drain_s)

    def _remove(
        self, held: _Held, topic: Topic, name: str, until: float | None, now: float
    ) -> None:
        if name not in held.records:
            return
        if until is None:
            held.lapsed.pop(name, None)
            del held.records[name]
        elif name not in held.lapsed:
            held.lapsed[name] = until
            emit(RECORD_LAPSED, topic=topic, name=name, used_for_s=round(until - now, 3))

    def _announce(self, topic: Topic, held: _Held, source: str) -> None:
        emit(
            VIEW_CHANGED,
            topic=topic,
            revision=held.revision,
            changed=held.changed,
            source=source,
            records=len(held.records),
        )
        values = {name: record.value for name, record in held.records.items()}
        publication = self._publication(topic, values)
        if publication is not None:
            self._publish(publication)

    def _publication(self, topic: Topic, values: dict[str, RecordValue]) -> Publication | None:
        if topic is Topic.ROUTES:
            return self._new_table(values)
        return PUBLICATIONS[topic](values)

    def _new_table(self, values: dict[str, RecordValue]) -> RoutesChanged | None:
        tables = [value for value in values.values() if isinstance(value, RouteTable)]
        newest = max(tables, key=lambda table: table.version, default=None)
        if newest is None or (self._table and newest.version <= self._table.version):
            return None
        self._table = newest
        return RoutesChanged(newest)


def _targets(values: dict[str, RecordValue]) -> TargetsChanged:
    return TargetsChanged({n: v for n, v in values.items() if isinstance(v, TargetRecord)})


def _zones(values: dict[str, RecordValue]) -> ZonesChanged:
    return ZonesChanged(frozenset(v.zone for v in values.values() if isinstance(v, ZoneExclusion)))


def _hosts(values: dict[str, RecordValue]) -> HostsChanged:
    return HostsChanged({n: v for n, v in values.items() if isinstance(v, HostRecord)})


PUBLICATIONS: dict[Topic, Callable[[dict[str, RecordValue]], Publication]] = {
    Topic.TARGETS: _targets,
    Topic.ZONES: _zones,
    Topic.HOSTS: _hosts,
}
