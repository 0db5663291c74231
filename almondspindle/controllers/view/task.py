"""The controller that owns this host's copy of the platform's records."""

import random
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    ANNOUNCEMENT,
    AnnouncementFailed,
    ChangesReceived,
    ExpireRetainedRecords,
    GetListing,
    GetRevisions,
    GetRouteTable,
    GetSnapshot,
    GetStoreContact,
    GetTopicUpdate,
    IsStoreReachable,
    PeerContactReported,
    PeerCopiesReported,
    Publication,
    ReserveStoreCall,
    SnapshotReceived,
    StoreCallFailed,
    StoreCallReleased,
    TopicRevision,
)
from almondspindle.controllers.view.publisher import ViewPublisher
from almondspindle.controllers.view.topic_copy import TopicCopy, renumber
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    COPY_IGNORED,
    STORE_BACK,
    STORE_CALL_FAILED,
    STORE_CAUGHT_UP,
    STORE_LOST,
    STORE_PROBED,
    STORE_RESTORED,
)
from almondspindle.core.identifiers import HostName
from almondspindle.core.inventory import (
    NO_REVISION,
    RecordUpdate,
    Revision,
    Snapshot,
    Topic,
    TopicUpdate,
)
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.reports import StoreContact
from almondspindle.core.routes import RouteTable
from almondspindle.decisions.announcing import Listing
from almondspindle.decisions.record_retention import (
    PeerContact,
    StoreAvailability,
    after_failure,
    after_restore,
    after_success,
    lost_record_retention_s,
    retain_until,
)
from almondspindle.decisions.store_probing import (
    ProbeState,
    after_failed_call,
    after_probe_began,
    after_probe_released,
    next_probe_wait_s,
)

STORE_SOURCE = "store"
# While the store fails, waiting tasks ask again after this time at most, so that they go on soon
# after its return.
MAX_TURN_WAIT_S = 0.1


class ViewController(Controller):
    """Own the records of all topics, and publish their changes.

    A topic's revision never decreases. All copies of a topic are ordered by the store's revision,
    so the one with the higher revision is newer, whether it was read from the store or a peer. A
    store that came back from an older copy is in a higher era, whose copies are newer than all of
    the era before. Until what was lost is written again, some records of that era remain in use.
    """

    on_exception = OnException.DROP

    def __init__(self, cfg: NodeCfg, clock: Clock, publish: Callable[[Publication], None]) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._publisher = ViewPublisher(publish)
        self._topics = {topic: TopicCopy() for topic in Topic}
        self._availability = StoreAvailability()
        self._contact_since: float | None = None  # since when no call to the store has failed
        self._responded_at = 0.0
        self._peer_contacts: dict[HostName, PeerContact] = {}
        self._revision_at_recovery = NO_REVISION
        self._era = 0  # the highest one seen
        self._restored_at: float | None = None  # None once all topics are of that era
        self._probes: ProbeState | None = None  # None while calls to the store succeed

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `view.messages`, or a change of the settings."""
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
        state = self._topics[snapshot.topic]
        if snapshot.revision < state.revision:
            _log_ignored(snapshot.topic, snapshot.revision, state.revision, msg.source)
            return
        if snapshot.revision.era > state.revision.era or state.revision == NO_REVISION:
            state.era_since = now
        is_restored = snapshot.revision.era > state.revision.era and bool(state.records)
        if snapshot.revision.era > self._era:
            self._note_era(snapshot, state.revision, now)
        records = {
            record.name: renumber(state, record, snapshot.revision) for record in snapshot.records
        }
        missing = [name for name in state.records if name not in records]
        newest = max((record.revision for record in records.values()), default=NO_REVISION)
        if snapshot.last_change > state.revision:
            last_change = snapshot.last_change
        else:
            last_change = snapshot.revision if missing else newest
        is_first = state.revision == NO_REVISION
        if snapshot.revision > state.revision:
            is_stated = snapshot.known_from != NO_REVISION
            state.known_from = snapshot.known_from if is_stated else snapshot.revision
        for name in missing:
            if is_restored:
                # A peer may have no copy from before.
                until = self._retain_lost_until(snapshot.topic, now)
            else:
                # A peer's snapshot includes its retained records, so the peer has removed this one.
                until = self._retain_until(snapshot.topic, now) if is_from_store else None
            state.remove_record(snapshot.topic, name, until, now)
        for record in records.values():
            state.set_record(snapshot.topic, record)
        for name, remaining_s in snapshot.retained.items():
            state.retained_until[name] = now + remaining_s
        state.final = set(snapshot.retained) if snapshot.retention_is_final else set()
        state.revision = snapshot.revision
        if last_change > state.last_change or is_first:
            state.last_change = max(last_change, state.last_change)
            state.changed_at = now
            self._publisher.publish_topic(snapshot.topic, state, msg.source)
        if is_from_store:
            self._confirm_copies(snapshot.revision, now)
        self._note_caught_up(now)

    @handle.register
    def _(self, msg: ChangesReceived, now: float) -> None:
        changes = msg.changes
        self._record_success(changes.revision, now)
        state = self._topics[changes.topic]
        if changes.revision <= state.revision:
            if changes.changes:
                _log_ignored(changes.topic, changes.revision, state.revision, STORE_SOURCE)
            self._confirm_copies(changes.revision, now)
            return
        for change in changes.changes:
            if change.removed:
                until = self._retain_until(changes.topic, now)
                state.remove_record(changes.topic, change.record.name, until, now)
            else:
                record = renumber(state, change.record, changes.revision)
                state.set_record(changes.topic, record)
        state.revision = changes.revision
        if changes.changes:
            state.last_change = changes.revision
            state.changed_at = now
            self._publisher.publish_topic(changes.topic, state, STORE_SOURCE)
        self._confirm_copies(changes.revision, now)

    @handle.register
    def _(self, msg: StoreCallFailed, now: float) -> None:
        if self._availability.failing_since is None:
            emit(STORE_LOST, topic=msg.topic, reason=msg.reason)
        emit(STORE_CALL_FAILED, topic=msg.topic, reason=msg.reason)
        self._availability = after_failure(self._availability, now)
        self._contact_since = None
        self._probes = after_failed_call(self._probes, msg.topic, now, random.random())

    @handle.register
    def _(self, msg: AnnouncementFailed, now: float) -> None:
        if self._probes is not None:
            self._probes = after_failed_call(self._probes, ANNOUNCEMENT, now, random.random())

    @handle.register
    def _(self, msg: ExpireRetainedRecords, now: float) -> None:
        for topic, state in self._topics.items():
            expired = [name for name, until in state.retained_until.items() if now >= until]
            if self._availability.failing_since is not None:
                # Records can't be written again during an outage, so this host removes none.
                expired = [name for name in expired if name in state.final]
            if not expired:
                continue
            for name in expired:
                state.retained_until.pop(name)
                state.final.discard(name)
                state.records.pop(name, None)
            state.last_change = state.revision
            self._publisher.publish_topic(topic, state, STORE_SOURCE)

    @handle.register
    def _(self, msg: GetRevisions, now: float) -> Mapping[Topic, TopicRevision]:
        return {topic: state.describe(now) for topic, state in self._topics.items()}

    @handle.register
    def _(self, msg: IsStoreReachable, now: float) -> bool:
        return self._availability.failing_since is None

    @handle.register
    def _(self, msg: GetListing, now: float) -> Listing:
        copy = self._topics[Topic.HOSTS]
        return Listing(
            is_listed=copy.revision == NO_REVISION or copy.stores(msg.record.name, msg.record),
            era=copy.revision.era,
            host_count=len(copy.records),
        )

    @handle.register
    def _(self, msg: GetStoreContact, now: float) -> StoreContact | None:
        if self._contact_since is None:
            return None
        return StoreContact(now - self._contact_since, now - self._responded_at)

    @handle.register
    def _(self, msg: PeerContactReported, now: float) -> None:
        contact = msg.contact
        self._peer_contacts[msg.host] = PeerContact(
            now, now - contact.unbroken_s, now - contact.response_age_s
        )

    @handle.register
    def _(self, msg: PeerCopiesReported, now: float) -> None:
        for topic, state in self._topics.items():
            age_s, last_change = msg.ages_s.get(topic), msg.revisions.get(topic)
            if age_s is None or last_change is None:
                continue
            if state.includes(last_change, msg.known_from.get(topic, last_change)):
                state.confirmed_at = max(state.confirmed_at, now - max(0.0, age_s))

    @handle.register
    def _(self, msg: ReserveStoreCall, now: float) -> float:
        if self._probes is None:
            return 0.0
        wait_s = next_probe_wait_s(self._probes, msg.sharers, now)
        if wait_s > 0:
            return min(MAX_TURN_WAIT_S, wait_s)
        emit(
            STORE_PROBED,
            caller=msg.caller,
            failures=self._probes.failures,
            waited_s=round(now - self._probes.failed_at, 3),
            sharers=msg.sharers,
        )
        self._probes = after_probe_began(self._probes, msg.caller, now)
        return 0.0

    @handle.register
    def _(self, msg: StoreCallReleased, now: float) -> None:
        if self._probes is not None:
            self._probes = after_probe_released(self._probes, msg.caller)

    @handle.register
    def _(self, msg: GetSnapshot, now: float) -> Snapshot:
        # Retained records are included, since the requesting peer may not have seen the outage.
        state = self._topics[msg.topic]
        return Snapshot(
            msg.topic,
            state.revision,
            tuple(state.records.values()),
            state.remaining_retention(now),
            last_change=state.last_change,
            known_from=state.known_from,
        )

    @handle.register
    def _(self, msg: GetTopicUpdate, now: float) -> TopicUpdate:
        state = self._topics[msg.topic]
        changed, unchanged = [], []
        for name, record in state.records.items():
            # The peer may have removed a record that this host retains.
            if record.revision <= msg.since.revision and name not in state.retained_until:
                unchanged.append(name)
            else:
                base = state.history.find(name, msg.since.newest)
                changed.append(RecordUpdate(record, base, msg.since.newest))
        retained = state.remaining_retention(now)
        is_final = self._availability.failing_since is None
        return TopicUpdate(
            msg.topic,
            state.revision,
            tuple(changed),
            tuple(unchanged),
            retained,
            is_final,
            state.last_change,
            state.known_from,
        )

    @handle.register
    def _(self, msg: GetRouteTable, now: float) -> RouteTable | None:
        return self._publisher.route_table

    def _confirm_copies(self, revision: Revision, now: float) -> None:
        """Note that the store was at `revision` now: no copy of that revision lacks a change."""
        for state in self._topics.values():
            if state.revision >= revision and state.revision.era == revision.era:
                state.confirmed_at = now

    def _note_era(self, snapshot: Snapshot, before: Revision, now: float) -> None:
        """Note that `snapshot` is of a higher era than all records before it."""
        is_first, self._era = self._era == 0, snapshot.revision.era
        if is_first and before == NO_REVISION:
            return
        self._restored_at = now
        self._availability = after_restore(self._availability, now)
        self._revision_at_recovery = snapshot.revision
        emit(
            STORE_RESTORED,
            topic=snapshot.topic,
            era=snapshot.revision.era,
            revision=snapshot.revision.number,
            previous_era=before.era,
            previous_revision=before.number,
        )

    def _note_caught_up(self, now: float) -> None:
        """Log that all topics have been read since the store came back, once for each era."""
        eras = {self._topics[topic].revision.era for topic in self._cfg.topics}
        if self._restored_at is None or eras != {self._era}:
            return
        emit(STORE_CAUGHT_UP, era=self._era, after_s=round(now - self._restored_at, 3))
        self._restored_at = None

    def _record_success(self, revision: Revision, now: float) -> None:
        if self._availability.failing_since is not None:
            emit(STORE_BACK, after_s=round(now - self._availability.failing_since, 3))
            self._revision_at_recovery = revision
        self._availability = after_success(self._availability, now, self._peer_contacts.values())
        if self._contact_since is None:
            self._contact_since = now
        self._responded_at = now
        self._probes = None

    def _retain_until(self, topic: Topic, now: float) -> float | None:
        if topic is not Topic.TARGETS:
            return None
        existed_at_recovery = self._topics[topic].revision >= self._revision_at_recovery
        return retain_until(self._availability, now, existed_at_recovery, self._cfg.bounds.drain_s)

    def _retain_lost_until(self, topic: Topic, now: float) -> float | None:
        """Return until when to retain a record that the store lost when it was restored."""
        retention_s = lost_record_retention_s(topic, self._cfg.bounds.evacuation_s)
        return now + retention_s if retention_s > 0 else None


def _log_ignored(topic: Topic, found: Revision, held: Revision, source: str) -> None:
    emit(
        COPY_IGNORED,
        topic=topic,
        source=source,
        found_era=found.era,
        found=found.number,
        era=held.era,
        revision=held.number,
    )
