"""The controller that knows all targets, their owners, and their order for a key."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.targets.messages import (
    ConfigChanged,
    FindCandidate,
    FindOwned,
    GetRoster,
    OwnedListener,
    RankTargets,
    RosterRead,
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

CANDIDATES = 6  # targets tried for one request at the most
RETRY_AFTER_S = 1.0
ZONE_RETRY_AFTER_S = 5.0  # operators act in minutes rather than seconds


def changed_targets(before: Roster, after: Roster) -> list[TargetName]:
    """Return the targets that joined, left or changed between two rosters."""
    old, new = before.targets, after.targets
    gone = [name for name in old if name not in new]
    return gone + [name for name, target in new.items() if old.get(name) != target]


class DirectoryController(Controller):
    """Own the roster and what is derived from it: owners and a ranking per service."""

    def __init__(self, clock: Clock, own_host: HostName) -> None:
        super().__init__(clock)
        self._own_host = own_host
        self._roster = Roster()
        self._config = ConfigSet()
        self._owners = OwnerTable()
        self._rankings = ServiceRankings()
        self._zone: ZoneName | None = None
        self._previous: dict[TargetName, HostName] = {}
        self._listener: OwnedListener = lambda owned: None
        self._out: dict[TargetName, RefusalCode] = {}
        self._returned: frozenset[TargetName] = frozenset()
        self._out_zones: dict[ServiceName, set[ZoneName]] = {}
        self._on_returned: list[Callable[[TargetsReturned], None]] = []

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: RosterRead, now: float) -> None:
        if msg.roster == self._roster:
            return
        before = self._roster
        self._roster = msg.roster
        emit(ROSTER_CHANGED, hosts=len(msg.roster.hosts), targets=len(msg.roster.targets))
        moves = self._derive_owners()
        self._derive_out()
        own = self._own_zone()
        everywhere = self._zone != own
        self._zone = own
        self._rank(self._all_names() if everywhere else changed_targets(before, msg.roster))
        self._tell_owned(before, {move.target: move.before for move in moves})

    @handle.register
    def _(self, msg: ConfigChanged, now: float) -> None:
        old = self._config
        self._config = msg.config
        # Most changes concern teams, which no target depends on.
        moved = (old.zones, old.targets) != (msg.config.zones, msg.config.targets)
        if moved:
            self._derive_out()
            self._rank(self._all_names())
        if self._roster.hosts and (moved or old.services != msg.config.services):
            self._tell_owned(self._roster, {})

    @handle.register
    def _(self, msg: SubscribeOwned, now: float) -> None:
        self._listener = msg.listener
        if self._roster.hosts:
            self._tell_owned(self._roster, {})

    @handle.register
    def _(self, msg: GetRoster, now: float) -> Roster:
        return self._roster

    @handle.register
    def _(self, msg: RankTargets, now: float) -> Outcome[tuple[Candidate, ...]]:
        names = self._rankings.rank(msg.service, msg.key, CANDIDATES)
        candidates = tuple(self._candidate(name) for name in names if self._owners.owner(name))
        if not candidates:
            return self._refuse(msg.service)
        return Ok(candidates)

    @handle.register
    def _(self, msg: SubscribeReturned, now: float) -> None:
        self._on_returned.append(msg.listener)

    @handle.register
    def _(self, msg: FindCandidate, now: float) -> Candidate | None:
        return self._candidate(msg.target) if self._owners.owner(msg.target) else None

    @handle.register
    def _(self, msg: FindOwned, now: float) -> Outcome[Target]:
        if self._config.version == 0:
            text = "this router has no configuration yet"
            return refused(RefusalCode.NOT_READY, text, retry_after_s=RETRY_AFTER_S)
        target = self._roster.targets.get(msg.target)
        owner = self._owners.owner(msg.target)
        if target is None or owner is None or owner.name != self._own_host:
            return refused(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        code = self._out_of_service(target)
        if code is not None:
            return refused(code, f"target {msg.target!r} takes no new work")
        return Ok(target)

    def _candidate(self, name: TargetName) -> Candidate:
        owner = self._owners.owner(name)
        assert owner is not None
        return Candidate(name, owner.name, owner.address)

    def _refuse(self, service: ServiceName) -> Outcome[tuple[Candidate, ...]]:
        zones = self._out_zones.get(service)
        if not zones:
            text = f"no target of service {service!r} is in service"
            return refused(RefusalCode.NO_TARGET, text, retry_after_s=RETRY_AFTER_S)
        text = (
            f"no target of service {service!r} is in service; availability zones that operators"
            f" have taken out: {', '.join(sorted(zones))}"
        )
        return refused(RefusalCode.ZONE_OUT, text, retry_after_s=ZONE_RETRY_AFTER_S)

    def _out_of_service(self, target: Target) -> RefusalCode | None:
        if self._config.zone_intent(target.zone) is Intent.OUT:
            return RefusalCode.ZONE_OUT
        if self._config.target_intent(target.name) is Intent.OUT:
            return RefusalCode.LEAVING
        if target.state is TargetState.LEAVING:
            return RefusalCode.LEAVING
        return None

    def _derive_owners(self) -> list[OwnerMove]:
        """Work out the owners anew and return their moves."""
        moves = self._owners.apply(self._roster)
        _log_moves(moves)
        return moves

    def _derive_out(self) -> None:
        was_out = self._out
        self._out = {}
        self._out_zones = {}
        for target in self._roster.targets.values():
            code = self._out_of_service(target)
            if code is not None:
                self._out[target.name] = code
            if code is RefusalCode.ZONE_OUT:
                self._out_zones.setdefault(target.service, set()).add(target.zone)
        self._tell_returned(was_out)

    def _tell_returned(self, was_out: dict[TargetName, RefusalCode]) -> None:
        known = self._roster.targets
        self._returned = frozenset(
            name for name in was_out if name in known and name not in self._out
        )
        if not self._returned:
            return
        emit(TARGETS_RETURNED, targets=sorted(self._returned))
        for listener in self._on_returned:
            listener(TargetsReturned(self._returned))

    def _own_zone(self) -> ZoneName | None:
        host = self._roster.hosts.get(self._own_host)
        return host.zone if host else None

    def _all_names(self) -> list[TargetName]:
        left = [name for name in self._rankings.names() if name not in self._roster.targets]
        return left + list(self._roster.targets)

    def _rank(self, names: list[TargetName]) -> None:
        for name in names:
            self._rankings.place(name, self._service_to_rank(name))

    def _service_to_rank(self, name: TargetName) -> ServiceName | None:
        target = self._roster.targets.get(name)
        if target is None or self._out_of_service(target) is not None:
            return None
        if not is_same_region(self._config, self._zone, target.zone):
            return None
        return target.service

    def _tell_owned(
        self, before: Roster, earlier_owners: Mapping[TargetName, HostName | None]
    ) -> None:
        """Tell the listener of the owned targets, with what the view before says of them.

        `earlier_owners` has the targets whose owners changed.
        """
        mine = self._owners.owned_by(self._own_host)
        targets = [t for name, t in self._roster.targets.items() if name in mine]
        served = {t.name: t for t in targets if self._out_of_service(t) is None}
        self._previous = {n: host for n, host in self._previous.items() if n in served}
        owned = []
        for name, target in served.items():
            earlier = earlier_owners.get(name) if before.hosts else self._owner_without_us(target)
            if earlier is not None and earlier != self._own_host:
                self._previous[name] = earlier
            is_new = bool(before.targets) and name not in before.targets
            joined = is_new or name in self._returned
            owned.append(
                OwnedTarget(target, self._reports(target), joined, self._live_previous(name))
            )
        self._returned = frozenset()  # told once; a later change must not repeat it
        self._listener(tuple(owned))

    def _owner_without_us(self, target: Target) -> HostName | None:
        """Return who owned `target` before this host came, as its first roster shows it."""
        hosts = self._roster.hosts.values()
        owner = owner_of(target, (host for host in hosts if host.name != self._own_host))
        return owner.name if owner else None

    def _live_previous(self, name: TargetName) -> Host | None:
        host = self._roster.hosts.get(self._previous.get(name, HostName("")))
        if host is None or host.state not in OWNING_STATES:
            return None
        return host

    def _reports(self, target: Target) -> bool:
        service = self._config.services.get(target.service)
        return service is not None and service.kind is ServiceKind.CHAT


def _log_moves(moves: Iterable[OwnerMove]) -> None:
    """Log the moves, one event for each pair of owners and reason."""
    counts = Counter((move.before, move.after, move.reason) for move in moves)
    for (before, after, reason), count in counts.items():
        emit(OWNER_MOVED, before=before, after=after, targets=count, reason=reason)
