"""The controller of this host's view of the other hosts and of the target list."""

from dataclasses import replace
from functools import singledispatchmethod
from random import Random
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.membership.gossip import GossipComposer
from almondspindle.controllers.membership.load_digests import LoadDigestTracker
from almondspindle.controllers.membership.messages import (
    BeginLeaving,
    BeginProbePeriod,
    CheckOwnershipStatus,
    GetHostTable,
    HostTableFetched,
    MembershipConfigChanged,
    MembershipListeners,
    PickHelpers,
    PlatformListRead,
    ProbeAcknowledged,
    ProbeFailed,
    ProbePlan,
    ReceiveProbe,
    RefuseNewWork,
    ShouldReadList,
)
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet
from almondspindle.core.events import (
    HOST_DAMPED,
    HOST_REFUTED,
    HOST_STATE_CHANGED,
    LIST_DISAGREEMENT,
    OWNERSHIP_STATUS_CHANGED,
)
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.logs import emit
from almondspindle.core.members import Gossip, MemberRecord, MembershipTimings
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.roster import HostState, Roster, roster_delta
from almondspindle.decisions.freshness import OwnershipStatus, ViewFreshness
from almondspindle.decisions.list_watchers import select_list_watchers
from almondspindle.decisions.membership import (
    PROBED_STATES,
    Member,
    MemberTable,
    StateChange,
    suspicion_timeout_s,
)
from almondspindle.decisions.probing import ProbeSchedule, pick_helpers
from almondspindle.decisions.target_list import ChecksumMismatch

MS_PER_S = 1000.0
RETRY_AFTER_S = 1.0
DEFAULT_REGION = "default"
# Every n-th probe period goes to a dead host, so that the two sides of a network partition find
# each other after it has healed.
DEAD_PROBE_PERIODS = 5
ZONE_PROBE_PERIODS = 2  # every n-th probe period goes to a host of the same zone

STATUS_REFUSALS = {
    OwnershipStatus.PAUSED: RefusalCode.NOT_OWNER,
    OwnershipStatus.PARTITIONED: RefusalCode.NOT_OWNER,
    OwnershipStatus.LEAVING: RefusalCode.LEAVING,
}


class MembershipController(Controller):
    """Own the host table, the target list, the load digests, and the freshness of this view."""

    def __init__(
        self,
        clock: Clock,
        own: MemberRecord,
        timings: MembershipTimings,
        listeners: MembershipListeners,
        rng: Random,
    ) -> None:
        super().__init__(clock)
        now = clock.monotonic()
        self._timings = timings
        self._listeners = listeners
        self._rng = rng
        self._table = MemberTable(own, timings)
        self._gossip = GossipComposer(self._table)
        self._load_digests = LoadDigestTracker(own.name, own.zone)
        self._config = ConfigSet()
        self._freshness = ViewFreshness(now)
        self._ownership_status = OwnershipStatus.OWNING
        self._list_mismatch = ChecksumMismatch()
        self._table_mismatch = ChecksumMismatch()
        self._has_joined = False
        self._fleet_schedule = ProbeSchedule(rng)
        self._zone_schedule = ProbeSchedule(rng)
        self._dead_schedule = ProbeSchedule(rng)
        self._periods = 0
        self._list_read_at: float | None = None
        self._refuses_new_work = False
        self._published = Roster()
        self._hosts_changed = True
        self._cached_zone_peers: list[HostName] | None = None
        self._cached_other_zones: list[ZoneName] | None = None
        self._damping_ends_at: float | None = None

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message of the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: BeginProbePeriod, now: float) -> ProbePlan | None:
        self._periods += 1
        self._freshness.tick(now, self._suspicion_timeout_s())
        self._process_changes(self._table.expire(now), now)
        self._load_digests.set_own(msg.digests)
        self._update_ownership_status(now)
        self._publish_roster(now)
        name = self._next_host_to_probe()
        if name is None:
            return None
        return replace(self._plan(name, now), fetch_table=self._needs_host_table(now))

    @handle.register
    def _(self, msg: ReceiveProbe, now: float) -> Gossip:
        self._merge_gossip(msg.gossip, now)
        self._publish_roster(now)
        return self._compose(msg.gossip.sender, now)

    @handle.register
    def _(self, msg: ProbeAcknowledged, now: float) -> None:
        self._freshness.record_probe(msg.host, True, msg.sent_at)
        self._merge_gossip(msg.gossip, now)
        self._update_ownership_status(now)
        self._publish_roster(now)

    @handle.register
    def _(self, msg: GetHostTable, now: float) -> Gossip:
        self._merge_gossip(msg.gossip, now)
        self._publish_roster(now)
        return self._gossip.full_host_table(self._config.version)

    @handle.register
    def _(self, msg: HostTableFetched, now: float) -> None:
        self._merge_gossip(msg.gossip, now)
        self._has_joined = True
        self._table_mismatch.since = None
        self._publish_roster(now)

    @handle.register
    def _(self, msg: ProbeFailed, now: float) -> None:
        # A dead host that does not respond is no sign that this host is partitioned.
        member = self._table.members.get(msg.host)
        if member is not None and member.record.state is not HostState.DEAD:
            self._freshness.record_probe(msg.host, False, msg.sent_at)
        if self._ownership_status is OwnershipStatus.OWNING:
            self._process_changes(self._table.record_missed_probe(msg.host, now), now)
        self._update_ownership_status(now)
        self._publish_roster(now)

    @handle.register
    def _(self, msg: PickHelpers, now: float) -> tuple[ProbePlan, ...]:
        live = self._table.names(lambda m: m.record.state is HostState.LIVE)
        candidates = [name for name in live if name != msg.host]
        helpers = pick_helpers(candidates, self._timings.indirect_probe_count, self._rng)
        return tuple(self._plan(name, now) for name in helpers)

    @handle.register
    def _(self, msg: ShouldReadList, now: float) -> bool:
        if (
            self._list_read_at is None
            or self._freshness.resumed_at is not None
            or self._freshness.needs_list_read()
        ):
            return True
        if self._list_mismatch.has_lasted(now, self._timings.list_mismatch_s):
            return True
        if self._is_list_watcher():
            return True
        self._gossip.targets.discard_last_list()
        return False

    @handle.register
    def _(self, msg: PlatformListRead, now: float) -> None:
        self._freshness.record_list_read(msg.requested_at, now)
        stamp = int(self._clock.wall() * MS_PER_S)
        if self._list_mismatch.has_lasted(now, self._timings.list_mismatch_s):
            emit(LIST_DISAGREEMENT, targets=len(msg.roster.targets))
            self._list_mismatch.since = None
            self._gossip.replace_target_list(msg.roster.targets, stamp)
        else:
            self._gossip.apply_target_list(msg.roster.targets, stamp)
        self._list_read_at = now
        own = self._table.own
        self._process_changes(self._table.apply_list(msg.roster.hosts.values(), now), now)
        self._hosts_changed |= self._table.own is not own
        self._update_ownership_status(now)
        self._publish_roster(now)

    @handle.register
    def _(self, msg: BeginLeaving, now: float) -> tuple[ProbePlan, ...]:
        self._table.leave()
        self._hosts_changed = True
        self._publish_roster(now)
        gossip = self._gossip.own_state(self._config.version)
        records = (self._table.members[name].record for name in self._table.names(_is_probed))
        return tuple(ProbePlan(record.to_host(record.state), gossip) for record in records)

    @handle.register
    def _(self, msg: RefuseNewWork, now: float) -> None:
        self._refuses_new_work = True
        self._update_ownership_status(now)

    @handle.register
    def _(self, msg: CheckOwnershipStatus, now: float) -> Outcome[None]:
        self._update_ownership_status(now)
        code = STATUS_REFUSALS.get(self._ownership_status)
        if code is None:
            return Ok(None)
        text = (
            f"host {self._table.own.name!r} accepts no new work:"
            f" it is {self._ownership_status.value}"
        )
        return refused(code, text, retry_after_s=RETRY_AFTER_S)

    @handle.register
    def _(self, msg: MembershipConfigChanged, now: float) -> None:
        self._config = msg.config

    def digest_ages(self, now: float) -> list[float]:
        """Return the ages in seconds of the load digests in use; called by benchmarks."""
        return self._load_digests.ages(self._zone_peers(), self._region_zones(), now)

    def _merge_gossip(self, gossip: Gossip, now: float) -> None:
        """Merge gossip received from a peer, and compare its checksums with those of this host."""
        changes = self._table.merge(gossip.sender, now)
        for record in gossip.members:
            changes += self._table.merge(record, now)
        self._process_changes(changes, now)
        self._gossip.merge_targets(gossip.targets)
        self._list_mismatch.compare(self._gossip.targets.checksum, gossip.targets_checksum, now)
        self._table_mismatch.compare(self._table.checksum(), gossip.members_checksum, now)
        if self._load_digests.merge(gossip.digests, gossip.zone_digests, now):
            self._publish_digests(now)
        if gossip.config_version > self._config.version:
            self._listeners.on_peer_config_version(gossip.sender.name, gossip.config_version)

    def _process_changes(self, changes: list[StateChange], now: float) -> None:
        """Log changes of the host table, queue them for dissemination and clear the caches."""
        if changes:
            self._hosts_changed = True
            self._cached_zone_peers = self._cached_other_zones = None
        for change in changes:
            if change.name not in self._table.members:
                self._load_digests.remove(change.name)
            if self._has_joined:  # The other hosts already know what a joining host learns.
                self._gossip.queue_host_change(change)
            if change.name == self._table.own.name:
                emit(HOST_REFUTED, incarnation=self._table.own.incarnation)
                continue
            if change.before is not change.after or change.restarted:
                _log_change(change)
            self._update_damping(change.name, now)

    def _update_damping(self, name: HostName, now: float) -> None:
        member = self._table.members.get(name)
        if member is not None and member.damped_until > now:
            emit(HOST_DAMPED, peer=name, hold_s=member.damped_until - now)
            self._damping_ends_at = self._table.next_damping_end(now)

    def _publish_roster(self, now: float) -> None:
        """Publish the roster if it changed; publish nothing before the first read of the list."""
        if self._damping_ends_at is not None and now >= self._damping_ends_at:
            self._hosts_changed = True
            self._damping_ends_at = self._table.next_damping_end(now)
        targets = self._gossip.targets.targets
        if self._list_read_at is None or not (
            self._hosts_changed or targets is not self._published.targets
        ):
            return
        roster = Roster(self._table.hosts(now), targets)
        delta = roster_delta(self._published, roster)
        self._published = roster
        self._hosts_changed = False
        if delta:
            self._listeners.on_roster(roster, delta)

    def _publish_digests(self, now: float) -> None:
        zones, services = self._region_zones(), self._config.services
        self._listeners.on_digests(
            self._load_digests.by_host(self._zone_peers(), zones, services, now)
        )

    def _update_ownership_status(self, now: float) -> None:
        status = self._freshness.ownership_status(now, self._suspicion_timeout_s())
        if self._refuses_new_work:
            status = OwnershipStatus.LEAVING
        if status is not self._ownership_status:
            emit(OWNERSHIP_STATUS_CHANGED, before=self._ownership_status, after=status)
            self._ownership_status = status

    def _next_host_to_probe(self) -> HostName | None:
        """Return the host to probe in this period, or None if there is none.

        Some periods are for dead hosts and some for hosts of the same zone; the others are for
        all hosts that are not dead.
        """
        if self._periods % DEAD_PROBE_PERIODS == 0:
            dead = self._table.names(lambda m: m.record.state is HostState.DEAD)
            if dead:
                return self._dead_schedule.next(dead)
        if self._periods % ZONE_PROBE_PERIODS == 0:
            zone_peers = self._zone_peers()
            if zone_peers:
                return self._zone_schedule.next(zone_peers)
        return self._fleet_schedule.next(self._table.names(_is_probed))

    def _plan(self, name: HostName, now: float) -> ProbePlan:
        record = self._table.members[name].record
        return ProbePlan(record.to_host(record.state), self._compose(record, now))

    def _compose(self, receiver: MemberRecord, now: float) -> Gossip:
        """Return the gossip for `receiver`, with digests of single hosts if it is in this zone."""
        zone_peers = self._zone_peers()
        in_own_zone = receiver.zone == self._table.own.zone
        return replace(
            self._gossip.compose(receiver, self._config.version),
            digests=self._load_digests.host_digests(zone_peers, now) if in_own_zone else (),
            zone_digests=self._load_digests.zone_digests(zone_peers, self._other_zones(), now),
        )

    def _zone_peers(self) -> list[HostName]:
        """Return the other hosts of this zone that are not dead; cached until hosts change."""
        if self._cached_zone_peers is None:
            own = self._table.own.zone
            self._cached_zone_peers = self._table.names(
                lambda m: m.record.zone == own and _is_probed(m)
            )
        return self._cached_zone_peers

    def _other_zones(self) -> list[ZoneName]:
        """Return the other zones with hosts that are not dead; cached until hosts change."""
        if self._cached_other_zones is None:
            members = self._table.members.values()
            zones = {member.record.zone for member in members if _is_probed(member)}
            self._cached_other_zones = sorted(zones - {self._table.own.zone})
        return self._cached_other_zones

    def _region_zones(self) -> list[ZoneName]:
        """Return the other zones of this host's region."""
        own = self._region(self._table.own.zone)
        return [zone for zone in self._other_zones() if self._region(zone) == own]

    def _region(self, zone: ZoneName) -> str:
        found = self._config.zones.get(zone)
        return found.region if found else DEFAULT_REGION

    def _needs_host_table(self, now: float) -> bool:
        """Return whether to fetch the full host table of a peer."""
        return not self._has_joined or self._table_mismatch.has_lasted(
            now, self._timings.list_mismatch_s
        )

    def _is_list_watcher(self) -> bool:
        hosts = self._published.hosts.values()
        own = self._table.own
        return own.name in select_list_watchers(hosts, own.zone, self._timings.list_watchers)

    def _suspicion_timeout_s(self) -> float:
        return suspicion_timeout_s(self._timings, len(self._table.members) + 1)


def _log_change(change: StateChange) -> None:
    emit(
        HOST_STATE_CHANGED,
        peer=change.name,
        before=change.before,
        after=change.after,
        restarted=change.restarted,
    )


def _is_probed(member: Member) -> bool:
    return member.record.state in PROBED_STATES
