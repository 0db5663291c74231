"""The controller that places requests on targets."""

from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.placement.copies import CopySources
from almondspindle.controllers.placement.messages import (
    AttemptOver,
    GetFailures,
    GetLoads,
    PeerLoads,
    Place,
)
from almondspindle.controllers.placement.targets import Known, PeerLoadBook
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    HostsChanged,
    RoutesChanged,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import TARGET_DOUBTED, TARGET_TRUSTED
from almondspindle.core.identifiers import ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.placements import AttemptEnd, Placement
from almondspindle.core.reports import AttemptCounts
from almondspindle.core.routes import ServiceSpec
from almondspindle.decisions.cold_rate import host_share, may_send
from almondspindle.decisions.error_rate import count_attempts, is_error_rate_high, record_attempt
from almondspindle.decisions.outlier_ejection import after_attempt, is_in_rotation
from almondspindle.decisions.shared_retry_budget import RetryLog, record_request, try_spend_retry
from almondspindle.decisions.target_selection import (
    Candidate,
    Choice,
    choose_target,
    load_cap,
    rank_targets,
)

BUSY_RETRY_AFTER_S = 0.5
NONE_RETRY_AFTER_S = 0.3


class PlacementController(Controller):
    """Own what is known of the targets, and the host's requests in flight at each."""

    def __init__(self, cfg: NodeCfg, clock: Clock) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._targets: dict[TargetName, Known] = {}
        self._by_service: dict[ServiceName, list[Known]] = {}
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._zones_out: frozenset[ZoneName] = frozenset()
        self._hosts: tuple[str, ...] = (cfg.host,)
        self._peers = PeerLoadBook()
        self._repeats: dict[ServiceName, RetryLog] = {}
        self._tickets: dict[int, _Ticket] = {}
        self._copies = CopySources()
        self._numbers = count(1)

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._cfg = msg.cfg

    @handle.register
    def _(self, msg: RoutesChanged, now: float) -> None:
        self._services = dict(msg.table.services)

    @handle.register
    def _(self, msg: ZonesChanged, now: float) -> None:
        # The targets of a zone that returns may have turned cold while they received nothing.
        for known in self._targets.values():
            zone, spec = known.record.zone, self._services.get(known.record.service)
            if zone in self._zones_out and zone not in msg.zones_out and spec is not None:
                known.cold_until = max(known.cold_until, now + spec.cold_s)
        self._zones_out = msg.zones_out

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        self._hosts = tuple({self._cfg.host, *msg.hosts})

    @handle.register
    def _(self, msg: PeerLoads, now: float) -> None:
        self._peers.put(msg, now)

    @handle.register
    def _(self, msg: GetLoads, now: float) -> dict[TargetName, int]:
        return {name: known.in_flight for name, known in self._targets.items() if known.in_flight}

    @handle.register
    def _(self, msg: GetFailures, now: float) -> dict[TargetName, AttemptCounts]:
        tallies = {
            name: count_attempts(known.attempts, now) for name, known in self._targets.items()
        }
        return {name: found for name, found in tallies.items() if found.errors}

    @handle.register
    def _(self, msg: TargetsChanged, now: float) -> None:
        known_before = self._targets
        for name, left in known_before.items():
            if name not in msg.targets:
                self._copies.departed(left, self._cfg.bounds.drain_s, now)
        self._targets = {}
        self._by_service = {}
        for record in msg.targets.values():
            known = known_before.get(record.name)
            if known is None or _has_restarted(known.record, record):
                known = Known(record, cold_until=now + record.cold_left_s)
                self._copies.restarted(record.name)
            elif record is not known.record:
                # A record that was written anew says anew how long the target stays cold.
                known.cold_until = max(known.cold_until, now + record.cold_left_s)
                known.record = record
            self._targets[record.name] = known
            self._by_service.setdefault(record.service, []).append(known)

    @handle.register
    def _(self, msg: Place, now: float) -> Outcome[Placement]:
        log = self._repeats.setdefault(msg.service, RetryLog())
        if not msg.tried and not msg.is_repeat:
            record_request(log, self._cfg.bounds, now)
        everyone = self._by_service.get(msg.service, [])
        group = [
            known
            for known in everyone
            if self._may_get_work(known) and known.record.name not in msg.tried
        ]
        if not group:
            text = f"no target of {msg.service} receives work"
            return refused(RefusalCode.NO_TARGET, text, retry_after_s=NONE_RETRY_AFTER_S)
        loads = {known.record.name: self._load(known, now) for known in everyone}
        candidates = [self._candidate(known, loads[known.record.name], now) for known in group]
        cap = load_cap([*loads.values()], self._cfg.bounds.load_cap_multiple)
        holding = [*everyone, *self._copies.still_serving(msg.service, now)]
        order = rank_targets([k.record.name for k in holding], msg.key) if msg.key else []
        choice = choose_target(candidates, order, self._cfg.zone, msg.request_id, cap)
        if choice is None:
            text = f"every target of {msg.service} is cold and has its share of requests"
            return refused(RefusalCode.STARTING, text, retry_after_s=BUSY_RETRY_AFTER_S)
        if msg.is_repeat and not try_spend_retry(log, self._cfg.bounds, len(self._hosts), now):
            return refused(RefusalCode.RATE_LIMITED, "the budget of repeats is spent")
        copy_from = self._copy_from(msg, choice.candidate.name, order, holding, now)
        return Ok(self._take(msg, choice, copy_from, now))

    @handle.register
    def _(self, msg: AttemptOver, now: float) -> None:
        ticket = self._tickets.pop(msg.ticket, None)
        if ticket is None:
            return
        known, report = ticket.known, msg.report
        known.in_flight -= 1
        if report.end is AttemptEnd.ANSWERED:
            known.answered_at = now
        if ticket.key and (report.started or report.end is AttemptEnd.ANSWERED):
            self._copies.note(ticket.key, known.record.name, now)
        if report.cold_left_s is not None:
            known.cold_until = now + report.cold_left_s
        record_attempt(known.attempts, report, now)
        before, known.trust = known.trust, after_attempt(known.trust, report, now)
        if known.trust.ejected_until > max(now, before.ejected_until):
            emit(
                TARGET_DOUBTED,
                target=known.record.name,
                end=report.end,
                status=report.status,
                failures=known.trust.failures,
                avoided_for_s=round(known.trust.ejected_until - now, 2),
            )
        elif before.failures and report.end is AttemptEnd.ANSWERED:
            emit(TARGET_TRUSTED, target=known.record.name, failures=before.failures)

    def _may_get_work(self, known: Known) -> bool:
        record = known.record
        return not record.is_leaving and record.zone not in self._zones_out

    def _candidate(self, known: Known, load: float, now: float) -> Candidate:
        record = known.record
        return Candidate(
            name=record.name,
            zone=record.zone,
            load=load,
            slots=record.slots,
            is_healthy=self._is_trusted(known, now),
            within_cold_rate=self._may_take(known, now),
        )

    def _is_trusted(self, known: Known, now: float) -> bool:
        if not is_in_rotation(known.trust, now):
            return False
        own, peers = count_attempts(known.attempts, now), self._peers.failures(known.record.name)
        failing = is_error_rate_high([own, *peers])
        if failing is not known.is_failing:
            known.is_failing = failing
            emit(
                TARGET_DOUBTED if failing else TARGET_TRUSTED,
                target=known.record.name,
                attempts=own.attempts,
                errors=own.errors,
                peers_errors=sum(found.errors for found in peers),
            )
        return not failing

    def _load(self, known: Known, now: float) -> float:
        return known.in_flight + self._peers.of(known.record.name, now)

    def _may_take(self, known: Known, now: float) -> bool:
        if now >= known.cold_until:
            return True
        spec = self._services.get(known.record.service)
        if spec is None or spec.cold_per_s <= 0:
            return True
        name = known.record.name
        share = host_share(
            self._cfg.bounds, spec.cold_per_s, self._cfg.host, self._hosts, str(name)
        )
        return may_send(known.sent_cold_at, share, now)

    def _take(self, msg: Place, choice: Choice, copy_from: str | None, now: float) -> Placement:
        known = self._targets[choice.candidate.name]
        ticket = next(self._numbers)
        self._tickets[ticket] = _Ticket(known, msg.key)
        known.in_flight += 1
        if now < known.cold_until:
            known.sent_cold_at.append(now)
        return Placement(
            ticket=ticket,
            target=known.record.name,
            address=known.record.address,
            reason=choice.reason,
            load=known.in_flight,
            copy_from=copy_from,
        )

    def _copy_from(
        self,
        msg: Place,
        chosen: TargetName,
        order: list[TargetName],
        holding: list[Known],
        now: float,
    ) -> str | None:
        spec = self._services.get(msg.service)
        if not msg.key or spec is None or spec.engine is None or not spec.engine.can_copy:
            return None
        return self._copies.source(msg.key, chosen, order, holding, now)


@dataclass(frozen=True, slots=True)
class _Ticket:
    """An attempt that has not ended, and what its prompt shares."""

    known: Known
    key: str


def _has_restarted(before: TargetRecord, after: TargetRecord) -> bool:
    return before.started_at_ms != after.started_at_ms or before.address != after.address
