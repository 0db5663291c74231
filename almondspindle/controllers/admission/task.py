"""The controller that admits requests to the targets that this host owns."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.admission.health_events import emit_health_changes
from almondspindle.controllers.admission.messages import (
    AdmissionConfigChanged,
    Admit,
    CheckAdmission,
    FirstByteReceived,
    GetDigests,
    GetPendingHandovers,
    GetReleasedTargets,
    GetTargetReports,
    HandoverReported,
    LoadPollFailed,
    LoadReported,
    OwnedTargetsChanged,
    PeerDigests,
    PendingHandover,
    PollRequestListener,
    ReleaseTicket,
    SubscribePollRequests,
)
from almondspindle.controllers.admission.record import AdmissionRecord
from almondspindle.controllers.base import Controller
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Policy
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.events import TARGETS_OWNED
from almondspindle.core.handover import ReleasedTarget, ReleaseResponse
from almondspindle.core.identifiers import ServiceName, TargetName, TeamName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError, Ok, Outcome, Refusal, RefusalCode, refused
from almondspindle.core.roster import Host
from almondspindle.core.target_reports import TargetReport
from almondspindle.decisions.admission import (
    Exclusivity,
    ServiceLoad,
    TargetLoad,
    exclusivity_of,
    refusal_of,
    start_limit_binds,
    sum_digests,
    target_bound,
)
from almondspindle.decisions.fair_share import is_within_share
from almondspindle.decisions.health import (
    AttemptFailed,
    PollAnswered,
    PollFailed,
    ResponseStarted,
    initial_health,
    is_cold,
    observe,
)
from almondspindle.decisions.target_reports import build_target_report

RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class _Ticket:
    target: TargetName
    team: TeamName


class AdmissionController(Controller):
    """Own the open tickets, and the record of each target that is owned or has open tickets.

    `takeover_s` is the time in seconds within which all hosts learn of a new owner.
    """

    def __init__(self, clock: Clock, takeover_s: float) -> None:
        super().__init__(clock)
        self._takeover_s = takeover_s
        self._config = ConfigSet()
        self._weights: dict[TeamName, float] = {}
        self._ticket_numbers = count(1)
        self._tickets: dict[int, _Ticket] = {}
        self._records: dict[TargetName, AdmissionRecord] = {}
        self._peer_loads: dict[ServiceName, ServiceLoad] = {}
        self._knows_owned_targets = False
        self._request_poll: PollRequestListener = lambda target: None

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message of the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: AdmissionConfigChanged, now: float) -> None:
        self._config = msg.config
        self._weights = {team.name: team.weight for team in msg.config.teams.values()}

    @handle.register
    def _(self, msg: SubscribePollRequests, now: float) -> None:
        self._request_poll = msg.listener

    @handle.register
    def _(self, msg: PeerDigests, now: float) -> None:
        by_service: dict[ServiceName, list[ServiceDigest]] = {}
        for digests in msg.by_host.values():
            for digest in digests:
                by_service.setdefault(digest.service, []).append(digest)
        self._peer_loads = {name: sum_digests(digests) for name, digests in by_service.items()}

    @handle.register
    def _(self, msg: GetDigests, now: float) -> tuple[ServiceDigest, ...]:
        services = sorted({record.owned.target.service for record in self._owned_records()})
        return tuple(self._digest(service, now) for service in services)

    @handle.register
    def _(self, msg: OwnedTargetsChanged, now: float) -> None:
        self._knows_owned_targets = True
        names = {owned.target.name for owned in msg.targets}
        if names != {record.owned.target.name for record in self._owned_records()}:
            emit(TARGETS_OWNED, targets=len(names))
        for name in [name for name in self._records if name not in names]:
            self._records[name].is_owned = False
            self._drop_if_idle(name)
        for owned in msg.targets:
            self._apply_owned(owned, now)

    @handle.register
    def _(self, msg: GetPendingHandovers, now: float) -> tuple[PendingHandover, ...]:
        by_host: dict[Host, list[TargetName]] = {}
        for record in self._owned_records():
            previous = record.previous_owner()
            if previous is not None and now - record.health.owned_since < self._takeover_s:
                by_host.setdefault(previous, []).append(record.owned.target.name)
        return tuple(PendingHandover(host, tuple(names)) for host, names in by_host.items())

    @handle.register
    def _(self, msg: HandoverReported, now: float) -> None:
        for released in msg.response.released:
            record = self._records.get(released.target)
            previous = record.previous_owner() if record is not None and record.is_owned else None
            if record is not None and previous is not None and previous.name == msg.previous_owner:
                record.complete_handover(released.in_flight)

    @handle.register
    def _(self, msg: GetReleasedTargets, now: float) -> ReleaseResponse:
        if not self._knows_owned_targets:
            return ReleaseResponse(())
        released = []
        for name in msg.targets:
            record = self._records.get(name)
            if record is None:
                released.append(ReleasedTarget(name, 0))
            elif not record.is_owned:
                released.append(ReleasedTarget(name, record.load.in_flight))
        return ReleaseResponse(tuple(released))

    @handle.register
    def _(self, msg: LoadReported, now: float) -> None:
        record = self._records.get(msg.target)
        if record is None:
            return
        before = record.health
        self._observe(record, PollAnswered(msg.report, msg.sent_at), now)
        record.confirm_tickets(before)
        record.apply_report(msg.report.in_flight, self._exclusivity(record, now))

    @handle.register
    def _(self, msg: LoadPollFailed, now: float) -> None:
        record = self._records.get(msg.target)
        if record is not None:
            self._observe(record, PollFailed(), now)

    @handle.register
    def _(self, msg: Admit, now: float) -> Outcome[int]:
        record = self._records.get(msg.target)
        if record is None or not record.is_owned:
            return refused(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        code = self._refusal_code(record, msg, now)
        record.record_demand(msg.team, msg.work, now)
        if code is not None:
            text = f"target {msg.target!r} is {code.value}"
            return refused(code, text, retry_after_s=RETRY_AFTER_S)
        ticket = next(self._ticket_numbers)
        self._tickets[ticket] = _Ticket(msg.target, msg.team)
        record.load.add(1)
        record.in_flight_by_team[msg.team] += 1
        return Ok(ticket)

    @handle.register
    def _(self, msg: FirstByteReceived, now: float) -> None:
        ticket = self._tickets.get(msg.ticket)
        if ticket is None:
            raise InvariantError(f"first byte for ticket {msg.ticket}, which is not in flight")
        record = self._records[ticket.target]
        record.record_first_byte(msg.ticket, now)
        self._observe(record, ResponseStarted(msg.first_byte_s), now)

    @handle.register
    def _(self, msg: ReleaseTicket, now: float) -> None:
        ticket = self._tickets.pop(msg.ticket, None)
        if ticket is None:
            raise InvariantError(f"ticket {msg.ticket} was released twice or never issued")
        record = self._records[ticket.target]
        record.remove_ticket(msg.ticket)
        record.load.add(-1)
        record.in_flight_by_team[ticket.team] -= 1
        if record.in_flight_by_team[ticket.team] == 0:
            del record.in_flight_by_team[ticket.team]
        if msg.failed:
            record.confirmed_tickets.clear()
            self._observe(record, AttemptFailed(), now)
            self._request_poll(ticket.target)
        self._drop_if_idle(ticket.target)

    @handle.register
    def _(self, msg: GetTargetReports, now: float) -> tuple[TargetReport, ...]:
        reports = []
        for record in self._owned_records():
            policy = self._policy(record.owned.target.service)
            load = self._target_load(record, policy, now)
            reports.append(build_target_report(policy, load, msg.owner, now))
        return tuple(reports)

    @handle.register
    def _(self, msg: CheckAdmission, now: float) -> Refusal | None:
        record = self._records.get(msg.target)
        if record is None or not record.is_owned:
            return Refusal(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        policy = self._policy(record.owned.target.service)
        code = refusal_of(policy, self._target_load(record, policy, now), msg.chat_id, now)
        if code is None:
            return None
        return Refusal(code, f"target {msg.target!r} is {code.value}")

    def _refusal_code(self, record: AdmissionRecord, msg: Admit, now: float) -> RefusalCode | None:
        policy = self._policy(record.owned.target.service)
        load = self._target_load(record, policy, now)
        bound = target_bound(policy, load, now)
        code = refusal_of(policy, load, msg.chat_id, now, msg.others_declined)
        if code is not None:
            if load.exclusivity is not Exclusivity.EXCLUSIVE or start_limit_binds(
                policy, load, now
            ):
                self._request_poll(msg.target)
            return code
        own_bound = bound - load.others_in_flight
        if not is_within_share(msg.team, msg.work, own_bound, self._weights, record.demand(), now):
            return RefusalCode.FULL
        return None

    def _target_load(self, record: AdmissionRecord, policy: Policy, now: float) -> TargetLoad:
        target = record.owned.target
        return TargetLoad(
            target=target.name,
            in_flight=record.load.in_flight,
            others_in_flight=record.others_in_flight,
            limit=self._limit(target.name, policy),
            service=self._service_load(target.service, now),
            health=record.health,
            exclusivity=self._exclusivity(record, now),
            boot_confirmed=record.has_confirmed_ticket(),
        )

    def _exclusivity(self, record: AdmissionRecord, now: float) -> Exclusivity:
        return exclusivity_of(
            record.health, record.previous_owner() is not None, self._takeover_s, now
        )

    def _apply_owned(self, owned: OwnedTarget, now: float) -> None:
        record = self._records.get(owned.target.name)
        if record is None:
            health = initial_health(now, owned.answers_polls, owned.joined)
            self._records[owned.target.name] = AdmissionRecord(owned, health)
            return
        address_changed = record.owned.target.address != owned.target.address
        if (
            address_changed
            or not record.is_owned
            or record.health.answers_polls != owned.answers_polls
        ):
            record.restart_ownership(
                owned, initial_health(now, owned.answers_polls, owned.joined or address_changed)
            )
        record.owned = owned

    def _observe(self, record: AdmissionRecord, event: object, now: float) -> None:
        before = record.health
        record.health = observe(event, before, now)
        target = record.owned.target
        policy = self._policy(target.service)
        limit = self._limit(target.name, policy)
        record.health = emit_health_changes(target.name, before, record.health, policy, limit, now)

    def _drop_if_idle(self, name: TargetName) -> None:
        record = self._records[name]
        if not record.is_owned and record.load.in_flight == 0:
            del self._records[name]

    def _owned_records(self) -> Iterator[AdmissionRecord]:
        return (record for record in self._records.values() if record.is_owned)

    def _digest(self, service: ServiceName, now: float) -> ServiceDigest:
        policy = self._policy(service)
        digest = ServiceDigest(service, 0, 0)
        for record in self._owned_records():
            target = record.owned.target
            if target.service != service:
                continue
            cold = is_cold(record.health, policy, self._limit(target.name, policy), now)
            load = record.load.in_flight
            digest = replace(
                digest,
                in_flight=digest.in_flight + load,
                targets=digest.targets + 1,
                cold=digest.cold + cold,
                cold_in_flight=digest.cold_in_flight + (load if cold else 0),
            )
        return digest

    def _service_load(self, service: ServiceName, now: float) -> ServiceLoad:
        own = sum_digests([self._digest(service, now)])
        peers = self._peer_loads.get(service, ServiceLoad())
        return ServiceLoad(own.in_flight + peers.in_flight, own.warm_targets + peers.warm_targets)

    def _policy(self, service: ServiceName) -> Policy:
        found = self._config.services.get(service)
        return found.policy if found else Policy()

    def _limit(self, target: TargetName, policy: Policy) -> int:
        override = self._config.targets.get(target)
        if override is not None and override.limit is not None:
            return override.limit
        return policy.target_limit
