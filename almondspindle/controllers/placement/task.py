"""The controller that selects a target for each request."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.placement.copy_sources import CopySources
from almondspindle.controllers.placement.messages import (
    AttemptEnded,
    GetFailures,
    GetLeavingNews,
    GetLoads,
    GetOldVersionLoads,
    GetPacedCounts,
    MayProbe,
    PeerLeavingReported,
    PeerLoadsReported,
    SelectTarget,
    TargetFellSilent,
)
from almondspindle.controllers.placement.paces import PaceTable
from almondspindle.controllers.placement.pauses import PauseTable
from almondspindle.controllers.placement.targets import PeerReportTable, TrackedTarget
from almondspindle.controllers.rollouts.messages import VersionRulesChanged
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    HostsChanged,
    RoutesChanged,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    NOTICE_UNATTRIBUTED,
    TARGET_EJECTED,
    TARGET_LEAVING,
    TARGET_REINSTATED,
    TARGET_RETURNED,
)
from almondspindle.core.identifiers import ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.logs import emit
from almondspindle.core.metrics import LEAVINGS, MetricSender, NullMetrics
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.placements import (
    AttemptEnd,
    AttemptReport,
    Placement,
    PlacementReason,
    RequestedPause,
    TargetLife,
    TargetNotice,
)
from almondspindle.core.reports import AttemptCounts
from almondspindle.core.rollouts import VersionRule
from almondspindle.core.routes import ServiceSpec
from almondspindle.decisions.cold_rate import host_share, may_send
from almondspindle.decisions.error_rate import count_attempts, is_error_rate_high, record_attempt
from almondspindle.decisions.leaving_targets import LeavingTargets, find_sender, life_of
from almondspindle.decisions.outlier_ejection import after_attempt, is_in_rotation
from almondspindle.decisions.shared_retry_budget import RetryLog, record_request, try_spend_retry
from almondspindle.decisions.target_pace import PaceCause
from almondspindle.decisions.target_pauses import retry_after_s
from almondspindle.decisions.target_selection import (
    Choice,
    TargetCandidate,
    choose_target,
    load_cap,
    rank_targets,
)
from almondspindle.decisions.version_pools import version_pools

# Sent to callers in the Retry-After header of a refusal.
COLD_RETRY_AFTER_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.3
CAP_RETRY_AFTER_S = 0.5
NOT_REPORTED = -math.inf  # when a leaving was learned that other hosts know from its record
OWN_RESPONSE = "response"  # the source of what a target said to this host itself


class PlacementController(Controller):
    """Own the state of all targets, including this host's requests in flight at each."""

    on_exception = OnException.DROP

    def __init__(self, cfg: NodeCfg, clock: Clock, metrics: MetricSender | None = None) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._metrics = metrics or NullMetrics()
        self._targets: dict[TargetName, TrackedTarget] = {}
        self._by_service: dict[ServiceName, list[TrackedTarget]] = {}
        self._records: dict[TargetName, TargetRecord] = {}
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._excluded_zones: frozenset[ZoneName] = frozenset()
        self._hosts: tuple[str, ...] = (cfg.host,)
        self._peers = PeerReportTable()
        self._retry_logs: dict[ServiceName, RetryLog] = {}
        self._reservations: dict[int, _Reservation] = {}
        self._unlisted: dict[TargetLife, TrackedTarget] = {}  # with requests in flight
        self._copy_sources = CopySources()
        self._leaving = LeavingTargets()
        self._pauses = PauseTable(self._metrics)
        self._paces = PaceTable(cfg.serves_under_pressure, self._metrics)
        self._version_rules: Mapping[ServiceName, VersionRule] = {}
        self._ticket_numbers = count(1)

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `placement.messages`, or a change of the settings or the view."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._cfg = msg.cfg
        self._paces.paces_all = msg.cfg.serves_under_pressure

    @handle.register
    def _(self, msg: RoutesChanged, now: float) -> None:
        self._services = dict(msg.table.services)

    @handle.register
    def _(self, msg: ZonesChanged, now: float) -> None:
        # Targets of a zone that is no longer excluded may be cold after a time without requests.
        for target in self._targets.values():
            zone, spec = target.record.zone, self._services.get(target.record.service)
            if zone in self._excluded_zones and zone not in msg.excluded_zones and spec is not None:
                target.cold_until = max(target.cold_until, now + spec.cold_s)
                self._paces.begin(target.record, PaceCause.ZONE_BACK, now)
        self._excluded_zones = msg.excluded_zones

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        self._hosts = tuple({self._cfg.host, *msg.hosts})

    @handle.register
    def _(self, msg: PeerLoadsReported, now: float) -> None:
        self._peers.replace(msg, now)
        self._paces.add_peer_counts(msg.host, msg.paced, now)

    @handle.register
    def _(self, msg: GetLoads, now: float) -> dict[TargetName, int]:
        return {
            name: target.in_flight for name, target in self._targets.items() if target.in_flight
        }

    @handle.register
    def _(self, msg: VersionRulesChanged, now: float) -> None:
        self._version_rules = msg.rules

    @handle.register
    def _(self, msg: GetOldVersionLoads, now: float) -> dict[ServiceName, int]:
        return {
            service: sum(
                int(self._total_in_flight(target, now))
                for target in self._by_service.get(service, [])
                if target.record.version != rule.version
            )
            for service, rule in self._version_rules.items()
        }

    @handle.register
    def _(self, msg: GetPacedCounts, now: float) -> dict[TargetName, AttemptCounts]:
        self._paces.end_overdue(now)
        return self._paces.counts()

    @handle.register
    def _(self, msg: GetFailures, now: float) -> dict[TargetName, AttemptCounts]:
        counts_by_target = {
            name: count_attempts(target.attempts, now) for name, target in self._targets.items()
        }
        return {name: counts for name, counts in counts_by_target.items() if counts.errors}

    @handle.register
    def _(self, msg: TargetsChanged, now: float) -> None:
        previous = self._targets
        self._records = {record.name: record for record in msg.targets.values()}
        for name, unlisted in previous.items():
            if name not in msg.targets:
                self._copy_sources.retain_unlisted(unlisted, self._cfg.bounds.drain_s, now)
                self._paces.remove(name)
        loaded = self._unlisted_with_load(msg.targets)
        targets: dict[TargetName, TrackedTarget] = {}
        by_service: dict[ServiceName, list[TrackedTarget]] = {}
        for record in msg.targets.values():
            target = target_before = previous.get(record.name)
            if target is None or _has_restarted(target.record, record):
                target = TrackedTarget(
                    record,
                    cold_until=now + record.cold_left_s,
                    paused_until=self._pauses.until(life_of(record)),
                )
                returned = loaded.pop(life_of(record), None)
                if returned is not None:
                    target.load = returned.load
                self._copy_sources.remove_target(record.name)
                # At its first list a host can't tell which targets have just started.
                if previous:
                    cause = PaceCause.RESTARTED if target_before else PaceCause.STARTED
                    self._paces.begin(record, cause, now)
                if self._leaving.has_returned(record):
                    emit(
                        TARGET_RETURNED,
                        target=record.name,
                        address=record.address,
                        started_at_ms=record.started_at_ms,
                    )
            elif record is not target.record:
                # The target wrote its record again; the remaining cold time counts from that write.
                target.cold_until = max(target.cold_until, now + record.cold_left_s)
                target.record = record
            target.is_leaving = record.is_leaving or self._leaving.includes(record)
            if record.is_leaving:
                target.copies_until = math.inf  # it is listed while it serves
                self._remember_leaving(record)
            targets[record.name] = target
            by_service.setdefault(record.service, []).append(target)
        # All change together: if the message fails, the targets known before are still used.
        self._targets, self._by_service = targets, by_service
        self._unlisted = loaded

    @handle.register
    def _(self, msg: SelectTarget, now: float) -> Outcome[Placement]:
        log = self._retry_logs.setdefault(msg.service, RetryLog())
        if not msg.tried_targets and not msg.is_retry:
            record_request(log, self._cfg.bounds, now)
        targets = self._by_service.get(msg.service, [])
        eligible = [
            target
            for target in targets
            if self._accepts_requests(target)
            and target.record.name not in msg.tried_targets
            and msg.only_target in (None, target.record.name)
        ]
        paused = self._paused_targets(msg.service, now)
        if paused:
            eligible = [target for target in eligible if now >= target.paused_until]
        if not eligible:
            return self._refuse_without_target(msg, paused, now)
        loads = {target.record.name: self._total_in_flight(target, now) for target in targets}
        cap = load_cap([*loads.values()], self._cfg.bounds.load_cap_multiple)
        sources = [*targets, *self._copy_sources.still_serving(msg.service, now)]
        ranked = (
            rank_targets([target.record.name for target in sources], msg.prompt_key)
            if msg.prompt_key
            else []
        )
        rule = self._version_rules.get(msg.service)
        pools = version_pools(eligible, rule, msg.version, bool(msg.tried_targets))
        if msg.avoided_addresses:
            pools = [*_without(pools, msg.avoided_addresses), *pools]
        if not pools:
            return self._refuse_without_target(msg, paused, now)
        choice = self._choose(pools, loads, ranked, msg.request_id, cap, now)
        if choice is None:
            text = f"every target of service {msg.service} is cold and at its request rate limit"
            return refused(RefusalCode.STARTING, text, retry_after_s=COLD_RETRY_AFTER_S)
        if msg.only_healthy and choice.reason is PlacementReason.LAST_RESORT:
            text = f"no healthy target of service {msg.service} is left"
            return refused(RefusalCode.NO_TARGET, text, retry_after_s=NO_TARGET_RETRY_AFTER_S)
        if paused and choice.candidate.load >= cap:
            text = f"targets of service {msg.service} are paused and the others at their load cap"
            available_at = min(now + CAP_RETRY_AFTER_S, _first_end(paused))
            wait_s = retry_after_s(available_at, msg.request_id, now)
            return refused(RefusalCode.TARGETS_PAUSED, text, retry_after_s=wait_s)
        if msg.is_retry and not try_spend_retry(log, self._cfg.bounds, len(self._hosts), now):
            return refused(RefusalCode.RATE_LIMITED, "the service's retry budget is exhausted")
        copy_from = self._copy_source_address(msg, choice.candidate.name, ranked, sources, now)
        return Ok(self._reserve(msg, choice, copy_from, now))

    def _choose(
        self,
        pools: list[list[TrackedTarget]],
        loads: Mapping[TargetName, float],
        ranked: list[TargetName],
        request_id: str,
        cap: float,
        now: float,
    ) -> Choice | None:
        """Return the choice in the first of `pools` that has a healthy target for the request."""
        choice = None
        for pool in pools:
            candidates = [self._to_candidate(t, loads[t.record.name], now) for t in pool]
            at_limit = self._paces.targets_at_limit(loads)
            if at_limit:
                candidates = [replace(c, within_pace=c.name not in at_limit) for c in candidates]
            choice = choose_target(candidates, ranked, self._cfg.zone, request_id, cap) or choice
            if choice is not None and choice.reason is not PlacementReason.LAST_RESORT:
                break
        return choice

    @handle.register
    def _(self, msg: TargetNotice, now: float) -> None:
        reservation = self._reservations.get(msg.ticket)
        if reservation is None:
            return
        expected = reservation.target.record
        sender = find_sender(msg, expected, self._records)
        if sender is None:
            emit(NOTICE_UNATTRIBUTED, expected=expected.name, address=expected.address)
            return
        if msg.is_leaving:
            self._note_leaving(sender, OWN_RESPONSE, now)
        if msg.pause is not None:
            self._note_pause(sender, msg.pause, now)

    @handle.register
    def _(self, msg: MayProbe, now: float) -> bool:
        reservation = self._reservations.get(msg.ticket)
        if reservation is None:
            return False
        target = reservation.target
        # A target that is leaving, or has left the list, is expected to go down.
        is_listed = self._targets.get(target.record.name) is target
        if target.is_leaving or not is_listed:
            return False
        return now >= self._pauses.until(life_of(target.record))

    @handle.register
    def _(self, msg: PeerLeavingReported, now: float) -> None:
        for life in msg.leaving:
            self._note_leaving(life, msg.host, now)

    @handle.register
    def _(self, msg: GetLeavingNews, now: float) -> tuple[TargetLife, ...]:
        return self._leaving.news(self._records, now)

    @handle.register
    def _(self, msg: AttemptEnded, now: float) -> None:
        reservation = self._reservations.pop(msg.ticket, None)
        if reservation is None:
            return
        target, report = reservation.target, msg.report
        target.load.in_flight -= 1
        if report.end is AttemptEnd.ANSWERED:
            target.last_response_at = now
        if reservation.prompt_key and (report.started or report.end is AttemptEnd.ANSWERED):
            self._copy_sources.add_holder(reservation.prompt_key, target.record.name, now)
        if report.cold_left_s is not None:
            target.cold_until = now + report.cold_left_s
        self._paces.record(target.record, report, reservation.objective_s, now)
        self._judge(target, report, now)

    @handle.register
    def _(self, msg: TargetFellSilent, now: float) -> None:
        reservation = self._reservations.get(msg.ticket)
        if reservation is not None:
            self._judge(reservation.target, AttemptReport(AttemptEnd.IDLE_TIMEOUT), now)

    def _judge(self, target: TrackedTarget, report: AttemptReport, now: float) -> None:
        """Eject or reinstate `target` after the attempt of `report`."""
        record_attempt(target.attempts, report, now)
        before, target.ejection = target.ejection, after_attempt(target.ejection, report, now)
        if target.ejection.ejected_until > max(now, before.ejected_until):
            emit(
                TARGET_EJECTED,
                target=target.record.name,
                end=report.end,
                status=report.status,
                failures=target.ejection.failures,
                avoided_for_s=round(target.ejection.ejected_until - now, 2),
            )
        elif before.failures and report.end is AttemptEnd.ANSWERED:
            emit(TARGET_REINSTATED, target=target.record.name, failures=before.failures)

    def _note_leaving(self, life: TargetLife, source: str, now: float) -> None:
        if not self._leaving.add(life, now):
            return
        self._metrics.count(LEAVINGS)
        target = self._targets.get(life.target)
        is_listed = target is not None and self._leaving.includes(target.record)
        emit(
            TARGET_LEAVING,
            target=life.target,
            address=life.address,
            started_at_ms=life.started_at_ms,
            source=source,
            listed=is_listed,
            in_flight=target.in_flight if target is not None else 0,
        )
        if target is not None and is_listed and not target.is_leaving:
            target.is_leaving = True
            target.copies_until = now + self._cfg.bounds.drain_s

    def _unlisted_with_load(
        self, listed: Mapping[str, TargetRecord]
    ) -> dict[TargetLife, TrackedTarget]:
        """Return the targets that `listed` lacks and at which requests are still in flight.

        They may be listed again in the same lifetime.
        """
        gone = {
            life_of(target.record): target
            for name, target in self._targets.items()
            if name not in listed
        }
        known = {**self._unlisted, **gone}
        return {life: target for life, target in known.items() if target.in_flight}

    def _remember_leaving(self, record: TargetRecord) -> None:
        """Keep out the target of a leaving `record` for the rest of its lifetime.

        The store may come back from a copy in which the record doesn't state it yet.
        """
        if record.started_at_ms:
            self._leaving.add(life_of(record), NOT_REPORTED)

    def _note_pause(self, life: TargetLife, requested: RequestedPause, now: float) -> None:
        until = self._pauses.add(life, requested, now)
        target = self._targets.get(life.target)
        if until is not None and target is not None and life_of(target.record) == life:
            target.paused_until = until

    def _paused_targets(self, service: ServiceName, now: float) -> list[TrackedTarget]:
        if not self._pauses.has_any(now):
            return []
        return [
            target
            for target in self._by_service.get(service, [])
            if now < target.paused_until and self._accepts_requests(target)
        ]

    def _refuse_without_target(
        self, msg: SelectTarget, paused: list[TrackedTarget], now: float
    ) -> Outcome[Placement]:
        targets = self._by_service.get(msg.service, [])
        if paused and len(paused) == sum(self._accepts_requests(target) for target in targets):
            text = f"every target of service {msg.service} asked for a pause"
            wait_s = retry_after_s(_first_end(paused), msg.request_id, now)
            return refused(RefusalCode.TARGETS_PAUSED, text, retry_after_s=wait_s)
        text = f"no target of service {msg.service} is available"
        return refused(RefusalCode.NO_TARGET, text, retry_after_s=NO_TARGET_RETRY_AFTER_S)

    def _accepts_requests(self, target: TrackedTarget) -> bool:
        return not target.is_leaving and target.record.zone not in self._excluded_zones

    def _to_candidate(self, target: TrackedTarget, load: float, now: float) -> TargetCandidate:
        record = target.record
        return TargetCandidate(
            name=record.name,
            zone=record.zone,
            load=load,
            slots=record.slots,
            is_healthy=self._is_healthy(target, now),
            within_cold_rate=self._is_within_cold_rate(target, now),
        )

    def _is_healthy(self, target: TrackedTarget, now: float) -> bool:
        if not is_in_rotation(target.ejection, now):
            return False
        own, peers = count_attempts(target.attempts, now), self._peers.failures(target.record.name)
        is_high = is_error_rate_high([own, *peers])
        if is_high is not target.has_high_error_rate:
            target.has_high_error_rate = is_high
            if not is_high:
                self._paces.begin(target.record, PaceCause.RECOVERED, now)
            emit(
                TARGET_EJECTED if is_high else TARGET_REINSTATED,
                target=target.record.name,
                attempts=own.attempts,
                errors=own.errors,
                peers_errors=sum(counts.errors for counts in peers),
            )
        return not is_high

    def _total_in_flight(self, target: TrackedTarget, now: float) -> float:
        return target.in_flight + self._peers.in_flight(target.record.name, now)

    def _is_within_cold_rate(self, target: TrackedTarget, now: float) -> bool:
        if now >= target.cold_until:
            return True
        spec = self._services.get(target.record.service)
        if spec is None or spec.cold_per_s <= 0:
            return True
        name = target.record.name
        share = host_share(
            self._cfg.bounds, spec.cold_per_s, self._cfg.host, self._hosts, str(name)
        )
        return may_send(target.cold_requests_at, share, now)

    def _reserve(
        self, msg: SelectTarget, choice: Choice, copy_from: str | None, now: float
    ) -> Placement:
        target = self._targets[choice.candidate.name]
        ticket = next(self._ticket_numbers)
        self._reservations[ticket] = _Reservation(target, msg.prompt_key, msg.objective_s)
        target.load.in_flight += 1
        if now < target.cold_until:
            target.cold_requests_at.append(now)
        return Placement(
            ticket=ticket,
            target=target.record.name,
            address=target.record.address,
            reason=choice.reason,
            load=target.in_flight,
            copy_from=copy_from,
            version=target.record.version,
            is_cold=now < target.cold_until,
            is_rolling_out=msg.service in self._version_rules,
        )

    def _copy_source_address(
        self,
        msg: SelectTarget,
        destination: TargetName,
        ranked: list[TargetName],
        sources: list[TrackedTarget],
        now: float,
    ) -> str | None:
        spec = self._services.get(msg.service)
        if not msg.prompt_key or spec is None or spec.engine is None or not spec.engine.can_copy:
            return None
        return self._copy_sources.source_address(msg.prompt_key, destination, ranked, sources, now)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """An attempt in progress. `prompt_key` is empty if its prompt has no shared part.

    `objective_s` is the latency objective of its route, in seconds.
    """

    target: TrackedTarget
    prompt_key: str
    objective_s: float


def _without(
    pools: list[list[TrackedTarget]], avoided_addresses: frozenset[str]
) -> list[list[TrackedTarget]]:
    """Return what is left of `pools` without the targets at `avoided_addresses`."""
    rest = (
        [target for target in pool if target.record.address not in avoided_addresses]
        for pool in pools
    )
    return [pool for pool in rest if pool]


def _first_end(paused: list[TrackedTarget]) -> float:
    return min(target.paused_until for target in paused)


def _has_restarted(before: TargetRecord, after: TargetRecord) -> bool:
    return before.started_at_ms != after.started_at_ms or before.address != after.address
