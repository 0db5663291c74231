"""The controller that owns this host's copy of the platform's records."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ExpireRetainedRecords,
    GetRevisions,
    GetRouteTable,
    GetSnapshot,
    HostsChanged,
    IsStoreReachable,
    Publication,
    RoutesChanged,
    SnapshotReceived,
    StoreCallFailed,
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
class _TopicState:
    """The records of one topic; `lapsed` gives until when missing ones are still used."""

    revision: int = 0
    last_change: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    retained_until: dict[str, float] = field(default_factory=dict)


class ViewController(Controller):
    """Own the records of all topics. A topic's revision never falls.

    The store's revision orders all of its states, so of two copies of a topic the one with the
    higher revision is the newer one, whether it came from the store or from a peer.
    """

    def __init__(self, cfg: NodeCfg, clock: Clock, publish: Callable[[Publication], None]) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._publish = publish
        self._topics = {topic: _TopicState() for topic in Topic}
        self._availability = StoreAvailability()
        self._revision_at_recovery = 0
        self._route_table: RouteTable | None = None

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._cfg = msg.cfg

    @handle.register
    def _(self, msg: SnapshotReceived, now: float) -> None:
        snapshot = msg.snapshot
        is_from_store = msg.source == STORE_SOURCE
        if is_from_store:
            self._record_success(snapshot.revision, now)
        held = self._topics[snapshot.topic]
        if snapshot.revision < held.revision:
            return
        wanted = {record.name: record for record in snapshot.records}
        missing = [name for name in held.records if name not in wanted]
        newest = max((record.revision for record in wanted.values()), default=0)
        changed = snapshot.revision if missing else newest
        is_first = held.revision == 0
        for name in missing:
            # What a peer no longer holds has gone by that peer's own word of the store.
            until = self._retain_until(snapshot.topic, now) if is_from_store else None
            self._remove_record(held, snapshot.topic, name, until, now)
        for record in wanted.values():
            self._set_record(held, snapshot.topic, record)
        for name, left_s in snapshot.retained.items():
            held.retained_until[name] = now + left_s
        held.revision = snapshot.revision
        if changed > held.last_change or is_first:
            held.last_change = max(changed, held.last_change)
            self._publish_topic(snapshot.topic, held, msg.source)

    @handle.register
    def _(self, msg: ChangesReceived, now: float) -> None:
        changes = msg.changes
        self._record_success(changes.revision, now)
        held = self._topics[changes.topic]
        if changes.revision <= held.revision:
            return
        for change in changes.changes:
            if change.removed:
                until = self._retain_until(changes.topic, now)
                self._remove_record(held, changes.topic, change.record.name, until, now)
            else:
                self._set_record(held, changes.topic, change.record)
        held.revision = changes.revision
        if changes.changes:
            held.last_change = changes.revision
            self._publish_topic(changes.topic, held, STORE_SOURCE)

    @handle.register
    def _(self, msg: StoreCallFailed, now: float) -> None:
        if self._availability.failing_since is None:
            emit(STORE_LOST, topic=msg.topic, reason=msg.reason)
        self._availability = after_failure(self._availability, now)

    @handle.register
    def _(self, msg: ExpireRetainedRecords, now: float) -> None:
        for topic, held in self._topics.items():
            due = [name for name, until in held.retained_until.items() if now >= until]
            if not due or self._availability.failing_since is not None:
                continue
            for name in due:
                held.retained_until.pop(name)
                held.records.pop(name, None)
            held.last_change = held.revision
            self._publish_topic(topic, held, STORE_SOURCE)

    @handle.register
    def _(self, msg: GetRevisions, now: float) -> Mapping[Topic, TopicRevision]:
        return {
            t: TopicRevision(held.revision, held.last_change) for t, held in self._topics.items()
        }

    @handle.register
    def _(self, msg: IsStoreReachable, now: float) -> bool:
        return self._availability.failing_since is None

    @handle.register
    def _(self, msg: GetSnapshot, now: float) -> Snapshot:
        # Lapsed records are included: whoever asks may not know of the outage.
        held = self._topics[msg.topic]
        lapsing = {name: max(0.0, until - now) for name, until in held.retained_until.items()}
        return Snapshot(msg.topic, held.revision, tuple(held.records.values()), lapsing)

    @handle.register
    def _(self, msg: GetRouteTable, now: float) -> RouteTable | None:
        return self._route_table

    def _record_success(self, revision: int, now: float) -> None:
        if self._availability.failing_since is not None:
            emit(STORE_BACK, after_s=round(now - self._availability.failing_since, 3))
            self._revision_at_recovery = revision
        self._availability = after_success(self._availability, now)

    def _set_record(self, held: _TopicState, topic: Topic, record: Record) -> None:
        if isinstance(record.value, UnreadableRecord):
            emit(RECORD_UNREADABLE, topic=topic, name=record.name, reason=record.value.reason)
        held.retained_until.pop(record.name, None)
        held.records[record.name] = record

    def _retain_until(self, topic: Topic, now: float) -> float | None:
        if topic is not Topic.TARGETS:
            return None
        is_recent = self._topics[topic].revision >= self._revision_at_recovery
        return retain_until(self._availability, now, is_recent, self._cfg.bounds.drain_s)

    def _remove_record(
        self, held: _TopicState, topic: Topic, name: str, until: float | None, now: float
    ) -> None:
        if name not in held.records:
            return
        if until is None:
            held.retained_until.pop(name, None)
            del held.records[name]
        elif name not in held.retained_until:
            held.retained_until[name] = until
            emit(RECORD_LAPSED, topic=topic, name=name, used_for_s=round(until - now, 3))

    def _publish_topic(self, topic: Topic, held: _TopicState, source: str) -> None:
        emit(
            VIEW_CHANGED,
            topic=topic,
            revision=held.revision,
            changed=held.last_change,
            source=source,
            records=len(held.records),
        )
        values = {name: record.value for name, record in held.records.items()}
        publication = self._build_publication(topic, values)
        if publication is not None:
            self._publish(publication)

    def _build_publication(
        self, topic: Topic, values: dict[str, RecordValue]
    ) -> Publication | None:
        if topic is Topic.ROUTES:
            return self._update_route_table(values)
        return PUBLICATION_BUILDERS[topic](values)

    def _update_route_table(self, values: dict[str, RecordValue]) -> RoutesChanged | None:
        tables = [value for value in values.values() if isinstance(value, RouteTable)]
        newest = max(tables, key=lambda table: table.version, default=None)
        if newest is None or (self._route_table and newest.version <= self._route_table.version):
            return None
        self._route_table = newest
        return RoutesChanged(newest)


def _build_targets_changed(values: dict[str, RecordValue]) -> TargetsChanged:
    return TargetsChanged({n: v for n, v in values.items() if isinstance(v, TargetRecord)})


def _build_zones_changed(values: dict[str, RecordValue]) -> ZonesChanged:
    return ZonesChanged(frozenset(v.zone for v in values.values() if isinstance(v, ZoneExclusion)))


def _build_hosts_changed(values: dict[str, RecordValue]) -> HostsChanged:
    return HostsChanged({n: v for n, v in values.items() if isinstance(v, HostRecord)})


PUBLICATION_BUILDERS: dict[Topic, Callable[[dict[str, RecordValue]], Publication]] = {
    Topic.TARGETS: _build_targets_changed,
    Topic.ZONES: _build_zones_changed,
    Topic.HOSTS: _build_hosts_changed,
}
