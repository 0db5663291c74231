"""The controller that places requests on targets."""

from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.placement.copy_sources import CopySources
from almondspindle.controllers.placement.messages import (
    AttemptEnded,
    GetFailures,
    GetLoads,
    PeerLoadsReported,
    SelectTarget,
)
from almondspindle.controllers.placement.targets import PeerReportTable, TrackedTarget
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

COLD_RETRY_AFTER_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.3


class PlacementController(Controller):
    """Own what is known of the targets, and the host's requests in flight at each."""

    def __init__(self, cfg: NodeCfg, clock: Clock) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._targets: dict[TargetName, TrackedTarget] = {}
        self._by_service: dict[ServiceName, list[TrackedTarget]] = {}
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._excluded_zones: frozenset[ZoneName] = frozenset()
        self._hosts: tuple[str, ...] = (cfg.host,)
        self._peer_reports = PeerReportTable()
        self._retry_logs: dict[ServiceName, RetryLog] = {}
        self._reservations: dict[int, _Reservation] = {}
        self._copy_sources = CopySources()
        self._ticket_numbers = count(1)

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
            if zone in self._excluded_zones and zone not in msg.excluded_zones and spec is not None:
                known.cold_until = max(known.cold_until, now + spec.cold_s)
        self._excluded_zones = msg.excluded_zones

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        self._hosts = tuple({self._cfg.host, *msg.hosts})

    @handle.register
    def _(self, msg: PeerLoadsReported, now: float) -> None:
        self._peer_reports.replace(msg, now)

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
                self._copy_sources.retain_unlisted(left, self._cfg.bounds.drain_s, now)
        self._targets = {}
        self._by_service = {}
        for record in msg.targets.values():
            known = known_before.get(record.name)
            if known is None or _has_restarted(known.record, record):
                known = TrackedTarget(record, cold_until=now + record.cold_left_s)
                self._copy_sources.remove_target(record.name)
            elif record is not known.record:
                # A record that was written anew says anew how long the target stays cold.
                known.cold_until = max(known.cold_until, now + record.cold_left_s)
                known.record = record
            self._targets[record.name] = known
            self._by_service.setdefault(record.service, []).append(known)

    @handle.register
    def _(self, msg: SelectTarget, now: float) -> Outcome[Placement]:
        log = self._retry_logs.setdefault(msg.service, RetryLog())
        if not msg.tried_targets and not msg.is_retry:
            record_request(log, self._cfg.bounds, now)
        everyone = self._by_service.get(msg.service, [])
        group = [
            known
            for known in everyone
            if self._accepts_requests(known) and known.record.name not in msg.tried_targets
        ]
        if not group:
            text = f"no target of {msg.service} receives work"
            return refused(RefusalCode.NO_TARGET, text, retry_after_s=NO_TARGET_RETRY_AFTER_S)
        loads = {known.record.name: self._total_in_flight(known, now) for known in everyone}
        candidates = [self._to_candidate(known, loads[known.record.name], now) for known in group]
        cap = load_cap([*loads.values()], self._cfg.bounds.load_cap_multiple)
        holding = [*everyone, *self._copy_sources.still_serving(msg.service, now)]
        order = (
            rank_targets([k.record.name for k in holding], msg.prompt_key) if msg.prompt_key else []
        )
        choice = choose_target(candidates, order, self._cfg.zone, msg.request_id, cap)
        if choice is None:
            text = f"every target of {msg.service} is cold and has its share of requests"
            return refused(RefusalCode.STARTING, text, retry_after_s=COLD_RETRY_AFTER_S)
        if msg.is_retry and not try_spend_retry(log, self._cfg.bounds, len(self._hosts), now):
            return refused(RefusalCode.RATE_LIMITED, "the budget of repeats is spent")
        copy_from = self._copy_source_address(msg, choice.candidate.name, order, holding, now)
        return Ok(self._reserve(msg, choice, copy_from, now))

    @handle.register
    def _(self, msg: AttemptEnded, now: float) -> None:
        ticket = self._reservations.pop(msg.ticket, None)
        if ticket is None:
            return
        known, report = ticket.target, msg.report
        known.in_flight -= 1
        if report.end is AttemptEnd.ANSWERED:
            known.last_response_at = now
        if ticket.prompt_key and (report.started or report.end is AttemptEnd.ANSWERED):
            self._copy_sources.add_holder(ticket.prompt_key, known.record.name, now)
        if report.cold_left_s is not None:
            known.cold_until = now + report.cold_left_s
        record_attempt(known.attempts, report, now)
        before, known.ejection = known.ejection, after_attempt(known.ejection, report, now)
        if known.ejection.ejected_until > max(now, before.ejected_until):
            emit(
                TARGET_DOUBTED,
                target=known.record.name,
                end=report.end,
                status=report.status,
                failures=known.ejection.failures,
                avoided_for_s=round(known.ejection.ejected_until - now, 2),
            )
        elif before.failures and report.end is AttemptEnd.ANSWERED:
            emit(TARGET_TRUSTED, target=known.record.name, failures=before.failures)

    def _accepts_requests(self, known: TrackedTarget) -> bool:
        record = known.record
        return not record.is_leaving and record.zone not in self._excluded_zones

    def _to_candidate(self, known: TrackedTarget, load: float, now: float) -> Candidate:
        record = known.record
        return Candidate(
            name=record.name,
            zone=record.zone,
            load=load,
            slots=record.slots,
            is_healthy=self._is_healthy(known, now),
            within_cold_rate=self._is_within_cold_rate(known, now),
        )

    def _is_healthy(self, known: TrackedTarget, now: float) -> bool:
        if not is_in_rotation(known.ejection, now):
            return False
        own, peers = count_attempts(known.attempts, now), self._peer_reports.failures(
            known.record.name
        )
        failing = is_error_rate_high([own, *peers])
        if failing is not known.has_high_error_rate:
            known.has_high_error_rate = failing
            emit(
                TARGET_DOUBTED if failing else TARGET_TRUSTED,
                target=known.record.name,
                attempts=own.attempts,
                errors=own.errors,
                peers_errors=sum(found.errors for found in peers),
            )
        return not failing

    def _total_in_flight(self, known: TrackedTarget, now: float) -> float:
        return known.in_flight + self._peer_reports.in_flight(known.record.name, now)

    def _is_within_cold_rate(self, known: TrackedTarget, now: float) -> bool:
        if now >= known.cold_until:
            return True
        spec = self._services.get(known.record.service)
        if spec is None or spec.cold_per_s <= 0:
            return True
        name = known.record.name
        share = host_share(
            self._cfg.bounds, spec.cold_per_s, self._cfg.host, self._hosts, str(name)
        )
        return may_send(known.cold_requests_at, share, now)

    def _reserve(
        self, msg: SelectTarget, choice: Choice, copy_from: str | None, now: float
    ) -> Placement:
        known = self._targets[choice.candidate.name]
        ticket = next(self._ticket_numbers)
        self._reservations[ticket] = _Reservation(known, msg.prompt_key)
        known.in_flight += 1
        if now < known.cold_until:
            known.cold_requests_at.append(now)
        return Placement(
            ticket=ticket,
            target=known.record.name,
            address=known.record.address,
            reason=choice.reason,
            load=known.in_flight,
            copy_from=copy_from,
        )

    def _copy_source_address(
        self,
        msg: SelectTarget,
        chosen: TargetName,
        order: list[TargetName],
        holding: list[TrackedTarget],
        now: float,
    ) -> str | None:
        spec = self._services.get(msg.service)
        if not msg.prompt_key or spec is None or spec.engine is None or not spec.engine.can_copy:
            return None
        return self._copy_sources.source_address(msg.prompt_key, chosen, order, holding, now)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """An attempt that has not ended, and what its prompt shares."""

    target: TrackedTarget
    prompt_key: str


def _has_restarted(before: TargetRecord, after: TargetRecord) -> bool:
    return before.started_at_ms != after.started_at_ms or before.address != after.address
