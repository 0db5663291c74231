"""The controller that tracks all targets and their owners, and ranks targets for a key."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.targets.messages import (
    ConfigChanged,
    FindCandidate,
    FindOwnedTarget,
    GetRoster,
    OwnedListener,
    RankTargets,
    RosterChanged,
    SubscribeOwned,
    SubscribeReturned,
    TargetsReturned,
)
from almondspindle.controllers.targets.rankings import ServiceRankings
from almondspindle.core.calls import Candidate
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Intent, ServiceKind
from almondspindle.core.events import OWNER_MOVED, ROSTER_CHANGED, TARGETS_RETURNED
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.roster import Host, Roster, Target, TargetState
from almondspindle.decisions.ownership import OWNING_STATES, OwnerMove, OwnerTable, owner_of
from almondspindle.decisions.region import is_same_region

MAX_CANDIDATES = 6  # maximum number of candidates for one request
RETRY_AFTER_S = 1.0
ZONE_RETRY_AFTER_S = 5.0  # operators return a zone to service in minutes rather than seconds


def changed_targets(before: Roster, after: Roster) -> list[TargetName]:
    """Return the names of the targets that were added, removed or changed between two rosters."""
    old, new = before.targets, after.targets
    removed = [name for name in old if name not in new]
    return removed + [name for name, target in new.items() if old.get(name) != target]


class DirectoryController(Controller):
    """Own the roster and the owners and rankings that are derived from it."""

    def __init__(self, clock: Clock, own_host: HostName) -> None:
        super().__init__(clock)
        self._own_host = own_host
        self._roster = Roster()
        self._config = ConfigSet()
        self._owners = OwnerTable()
        self._rankings = ServiceRankings()
        self._ranked_for_zone: ZoneName | None = None
        self._previous_owners: dict[TargetName, HostName] = {}
        self._owned_listener: OwnedListener = lambda owned: None
        self._out_of_service: dict[TargetName, RefusalCode] = {}
        self._returned: frozenset[TargetName] = frozenset()
        self._out_zones_by_service: dict[ServiceName, set[ZoneName]] = {}
        self._returned_listeners: list[Callable[[TargetsReturned], None]] = []

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message of the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: RosterChanged, now: float) -> None:
        if msg.roster == self._roster:
            return
        before = self._roster
        self._roster = msg.roster
        emit(ROSTER_CHANGED, hosts=len(msg.roster.hosts), targets=len(msg.roster.targets))
        moves = self._update_owners()
        self._update_out_of_service()
        own = self._own_zone()
        zone_changed = self._ranked_for_zone != own
        self._ranked_for_zone = own
        self._update_rankings(
            self._all_names() if zone_changed else changed_targets(before, msg.roster)
        )
        self._notify_owned(before, {move.target: move.before for move in moves})

    @handle.register
    def _(self, msg: ConfigChanged, now: float) -> None:
        old = self._config
        self._config = msg.config
        # Most configuration changes concern teams, which do not affect any target.
        is_relevant = (old.zones, old.targets) != (msg.config.zones, msg.config.targets)
        if is_relevant:
            self._update_out_of_service()
            self._update_rankings(self._all_names())
        if self._roster.hosts and (is_relevant or old.services != msg.config.services):
            self._notify_owned(self._roster, {})

    @handle.register
    def _(self, msg: SubscribeOwned, now: float) -> None:
        self._owned_listener = msg.listener
        if self._roster.hosts:
            self._notify_owned(self._roster, {})

    @handle.register
    def _(self, msg: GetRoster, now: float) -> Roster:
        return self._roster

    @handle.register
    def _(self, msg: RankTargets, now: float) -> Outcome[tuple[Candidate, ...]]:
        names = self._rankings.rank(msg.service, msg.key, MAX_CANDIDATES)
        candidates = tuple(self._candidate(name) for name in names if self._owners.owner(name))
        if not candidates:
            return self._refuse_no_candidates(msg.service)
        return Ok(candidates)

    @handle.register
    def _(self, msg: SubscribeReturned, now: float) -> None:
        self._returned_listeners.append(msg.listener)

    @handle.register
    def _(self, msg: FindCandidate, now: float) -> Candidate | None:
        return self._candidate(msg.target) if self._owners.owner(msg.target) else None

    @handle.register
    def _(self, msg: FindOwnedTarget, now: float) -> Outcome[Target]:
        if self._config.version == 0:
            text = "this router has no configuration yet"
            return refused(RefusalCode.NOT_READY, text, retry_after_s=RETRY_AFTER_S)
        target = self._roster.targets.get(msg.target)
        owner = self._owners.owner(msg.target)
        if target is None or owner is None or owner.name != self._own_host:
            return refused(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        code = self._out_of_service_code(target)
        if code is not None:
            return refused(code, f"target {msg.target!r} accepts no new work")
        return Ok(target)

    def _candidate(self, name: TargetName) -> Candidate:
        owner = self._owners.owner(name)
        assert owner is not None
        return Candidate(name, owner.name, owner.address)

    def _refuse_no_candidates(self, service: ServiceName) -> Outcome[tuple[Candidate, ...]]:
        zones = self._out_zones_by_service.get(service)
        if not zones:
            text = f"no target of service {service!r} is in service"
            return refused(RefusalCode.NO_TARGET, text, retry_after_s=RETRY_AFTER_S)
        text = (
            f"no target of service {service!r} is in service; availability zones that operators"
            f" have taken out of service: {', '.join(sorted(zones))}"
        )
        return refused(RefusalCode.ZONE_OUT, text, retry_after_s=ZONE_RETRY_AFTER_S)

    def _out_of_service_code(self, target: Target) -> RefusalCode | None:
        if self._config.zone_intent(target.zone) is Intent.OUT:
            return RefusalCode.ZONE_OUT
        if self._config.target_intent(target.name) is Intent.OUT:
            return RefusalCode.LEAVING
        if target.state is TargetState.LEAVING:
            return RefusalCode.LEAVING
        return None

    def _update_owners(self) -> list[OwnerMove]:
        """Compute the owners for the current roster; log and return the moves of targets."""
        moves = self._owners.apply(self._roster)
        _log_moves(moves)
        return moves

    def _update_out_of_service(self) -> None:
        previously_out = self._out_of_service
        self._out_of_service = {}
        self._out_zones_by_service = {}
        for target in self._roster.targets.values():
            code = self._out_of_service_code(target)
            if code is not None:
                self._out_of_service[target.name] = code
            if code is RefusalCode.ZONE_OUT:
                self._out_zones_by_service.setdefault(target.service, set()).add(target.zone)
        self._notify_returned(previously_out)

    def _notify_returned(self, previously_out: dict[TargetName, RefusalCode]) -> None:
        known = self._roster.targets
        self._returned = frozenset(
            name for name in previously_out if name in known and name not in self._out_of_service
        )
        if not self._returned:
            return
        emit(TARGETS_RETURNED, targets=sorted(self._returned))
        for listener in self._returned_listeners:
            listener(TargetsReturned(self._returned))

    def _own_zone(self) -> ZoneName | None:
        host = self._roster.hosts.get(self._own_host)
        return host.zone if host else None

    def _all_names(self) -> list[TargetName]:
        removed = [name for name in self._rankings.names() if name not in self._roster.targets]
        return removed + list(self._roster.targets)

    def _update_rankings(self, names: list[TargetName]) -> None:
        for name in names:
            self._rankings.assign(name, self._service_to_rank(name))

    def _service_to_rank(self, name: TargetName) -> ServiceName | None:
        target = self._roster.targets.get(name)
        if target is None or self._out_of_service_code(target) is not None:
            return None
        if not is_same_region(self._config, self._ranked_for_zone, target.zone):
            return None
        return target.service

    def _notify_owned(
        self, before: Roster, earlier_owners: Mapping[TargetName, HostName | None]
    ) -> None:
        """Call the listener with the owned targets in service.

        Targets that are not in `before`, the previous roster, have joined; if it is empty, this
        host itself has just joined. `earlier_owners` maps each target whose owner changed to its
        previous owner.
        """
        own_names = self._owners.owned_by(self._own_host)
        targets = [t for name, t in self._roster.targets.items() if name in own_names]
        served = {t.name: t for t in targets if self._out_of_service_code(t) is None}
        self._previous_owners = {
            n: host for n, host in self._previous_owners.items() if n in served
        }
        owned = []
        for name, target in served.items():
            earlier = (
                earlier_owners.get(name) if before.hosts else self._owner_before_joining(target)
            )
            if earlier is not None and earlier != self._own_host:
                self._previous_owners[name] = earlier
            is_new = bool(before.targets) and name not in before.targets
            joined = is_new or name in self._returned
            owned.append(
                OwnedTarget(
                    target, self._reports_load(target), joined, self._live_previous_owner(name)
                )
            )
        self._returned = frozenset()  # The next change must not report them as joined again.
        self._owned_listener(tuple(owned))

    def _owner_before_joining(self, target: Target) -> HostName | None:
        """Return the owner that `target` had before this host joined, by its first roster."""
        hosts = self._roster.hosts.values()
        owner = owner_of(target, (host for host in hosts if host.name != self._own_host))
        return owner.name if owner else None

    def _live_previous_owner(self, name: TargetName) -> Host | None:
        host = self._roster.hosts.get(self._previous_owners.get(name, HostName("")))
        if host is None or host.state not in OWNING_STATES:
            return None
        return host

    def _reports_load(self, target: Target) -> bool:
        service = self._config.services.get(target.service)
        return service is not None and service.kind is ServiceKind.CHAT


def _log_moves(moves: Iterable[OwnerMove]) -> None:
    """Emit one event per previous owner, new owner and reason."""
    counts = Counter((move.before, move.after, move.reason) for move in moves)
    for (before, after, reason), count in counts.items():
        emit(OWNER_MOVED, before=before, after=after, targets=count, reason=reason)
