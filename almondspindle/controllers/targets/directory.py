"""The controller that knows all targets, their owners, and their order for a key."""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.targets.messages import (
    ConfigChanged,
    FindOwned,
    GetRoster,
    RankTargets,
    RosterRead,
    SubscribeReturned,
    TargetsReturned,
)
from almondspindle.core.calls import Candidate
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Intent
from almondspindle.core.events import OWNER_MOVED, ROSTER_CHANGED, TARGETS_RETURNED
from almondspindle.core.identifiers import HostName, ServiceName, TargetName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.roster import Roster, Target, TargetState
from almondspindle.decisions.ownership import OwnerMove, OwnerTable
from almondspindle.decisions.ranking import Ranking, RendezvousScan

CANDIDATES = 6  # targets tried for one request at the most
RETRY_AFTER_S = 1.0
ZONE_RETRY_AFTER_S = 5.0  # operators act in minutes rather than seconds


class DirectoryController(Controller):
    """Own the roster and what is derived from it: owners and a ranking per service."""

    def __init__(self, clock: Clock, own_host: HostName) -> None:
        super().__init__(clock)
        self._own_host = own_host
        self._roster = Roster()
        self._config = ConfigSet()
        self._owners = OwnerTable()
        self._rankings: dict[ServiceName, Ranking] = {}
        self._out: dict[TargetName, RefusalCode] = {}
        self._on_returned: list[Callable[[TargetsReturned], None]] = []

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: RosterRead, now: float) -> None:
        if msg.roster == self._roster:
            return
        self._roster = msg.roster
        emit(ROSTER_CHANGED, hosts=len(msg.roster.hosts), targets=len(msg.roster.targets))
        self._derive()

    @handle.register
    def _(self, msg: ConfigChanged, now: float) -> None:
        self._config = msg.config
        self._derive()

    @handle.register
    def _(self, msg: GetRoster, now: float) -> Roster:
        return self._roster

    @handle.register
    def _(self, msg: RankTargets, now: float) -> Outcome[tuple[Candidate, ...]]:
        ranking = self._rankings.get(msg.service)
        names = ranking.rank(msg.key, CANDIDATES) if ranking else []
        candidates = tuple(self._candidate(name) for name in names if self._owners.owner(name))
        if not candidates:
            return self._refuse(msg.service)
        return Ok(candidates)

    @handle.register
    def _(self, msg: SubscribeReturned, now: float) -> None:
        self._on_returned.append(msg.listener)

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
        targets = [t for t in self._roster.targets.values() if t.service == service]
        zones = {t.zone for t in targets if self._out.get(t.name) is RefusalCode.ZONE_OUT}
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

    def _derive(self) -> None:
        _log_moves(self._owners.apply(self._roster))
        by_service: dict[ServiceName, list[TargetName]] = {}
        was_out = self._out
        self._out = {}
        for target in self._roster.targets.values():
            code = self._out_of_service(target)
            if code is None:
                by_service.setdefault(target.service, []).append(target.name)
            else:
                self._out[target.name] = code
        self._tell_returned(was_out)
        self._rankings = {name: RendezvousScan(names) for name, names in by_service.items()}

    def _tell_returned(self, was_out: dict[TargetName, RefusalCode]) -> None:
        known = self._roster.targets
        returned = frozenset(name for name in was_out if name in known and name not in self._out)
        if not returned:
            return
        emit(TARGETS_RETURNED, targets=sorted(returned))
        for listener in self._on_returned:
            listener(TargetsReturned(returned))


def _log_moves(moves: Iterable[OwnerMove]) -> None:
    """Log the moves, one event for each pair of owners and reason."""
    counts = Counter((move.before, move.after, move.reason) for move in moves)
    for (before, after, reason), count in counts.items():
        emit(OWNER_MOVED, before=before, after=after, targets=count, reason=reason)
