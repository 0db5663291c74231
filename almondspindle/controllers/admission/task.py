"""The controller that counts requests in flight at the targets this host owns."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.admission.messages import (
    Admit,
    Answered,
    Awaited,
    GetAwaited,
    GetDigests,
    GetReleased,
    GetTargetReports,
    HandedOver,
    LoadHeard,
    LoadMissed,
    OwnedTargets,
    PeerDigests,
    PolicyChanged,
    PollListener,
    Release,
    SubscribePolls,
    WouldAdmit,
)
from almondspindle.controllers.admission.record import TargetRecord
from almondspindle.controllers.admission.report import emit_changes
from almondspindle.controllers.base import Controller
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Policy
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.events import TARGETS_OWNED
from almondspindle.core.handover import ReleaseAnswer, Released
from almondspindle.core.identifiers import ServiceName, TargetName, TeamName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError, Ok, Outcome, Refusal, RefusalCode, refused
from almondspindle.core.roster import Host
from almondspindle.core.target_states import TargetReport
from almondspindle.decisions.admission import (
    ServiceLoad,
    TargetLoad,
    Trust,
    refusal_of,
    start_limit_binds,
    sum_digests,
    target_bound,
    trust_of,
)
from almondspindle.decisions.fair_share import is_within_share
from almondspindle.decisions.health import (
    AttemptFailed,
    FirstByteReceived,
    PollFailed,
    ReportReceived,
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
    """Own the tickets, who is in flight where, and what is known of each owned target."""

    def __init__(self, clock: Clock, takeover_s: float) -> None:
        super().__init__(clock)
        self._takeover_s = takeover_s
        self._config = ConfigSet()
        self._weights: dict[TeamName, float] = {}
        self._numbers = count(1)
        self._tickets: dict[int, _Ticket] = {}
        self._records: dict[TargetName, TargetRecord] = {}
        self._peers: dict[ServiceName, ServiceLoad] = {}
        self._has_view = False
        self._poll: PollListener = lambda target: None

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: PolicyChanged, now: float) -> None:
        self._config = msg.config
        self._weights = {team.name: team.weight for team in msg.config.teams.values()}

    @handle.register
    def _(self, msg: SubscribePolls, now: float) -> None:
        self._poll = msg.listener

    @handle.register
    def _(self, msg: PeerDigests, now: float) -> None:
        by_service: dict[ServiceName, list[ServiceDigest]] = {}
        for digests in msg.by_host.values():
            for digest in digests:
                by_service.setdefault(digest.service, []).append(digest)
        self._peers = {name: sum_digests(digests) for name, digests in by_service.items()}

    @handle.register
    def _(self, msg: GetDigests, now: float) -> tuple[ServiceDigest, ...]:
        services = sorted({record.owned.target.service for record in self._owned()})
        return tuple(self._digest(service, now) for service in services)

    @handle.register
    def _(self, msg: OwnedTargets, now: float) -> None:
        self._has_view = True
        names = {owned.target.name for owned in msg.targets}
        if names != {record.owned.target.name for record in self._owned()}:
            emit(TARGETS_OWNED, targets=len(names))
        for name in [name for name in self._records if name not in names]:
            self._records[name].is_owned = False
            self._drop_if_idle(name)
        for owned in msg.targets:
            self._take(owned, now)

    @handle.register
    def _(self, msg: GetAwaited, now: float) -> tuple[Awaited, ...]:
        by_host: dict[Host, list[TargetName]] = {}
        for record in self._owned():
            previous = record.previous()
            if previous is not None and now - record.health.owned_since < self._takeover_s:
                by_host.setdefault(previous, []).append(record.owned.target.name)
        return tuple(Awaited(host, tuple(names)) for host, names in by_host.items())

    @handle.register
    def _(self, msg: HandedOver, now: float) -> None:
        for released in msg.answer.released:
            record = self._records.get(released.target)
            previous = record.previous() if record is not None and record.is_owned else None
            if record is not None and previous is not None and previous.name == msg.previous:
                record.hand_over(released.in_flight)

    @handle.register
    def _(self, msg: GetReleased, now: float) -> ReleaseAnswer:
        if not self._has_view:
            return ReleaseAnswer(())
        released = []
        for name in msg.targets:
            record = self._records.get(name)
            if record is None:
                released.append(Released(name, 0))
            elif not record.is_owned:
                released.append(Released(name, record.load.in_flight))
        return ReleaseAnswer(tuple(released))

    @handle.register
    def _(self, msg: LoadHeard, now: float) -> None:
        record = self._records.get(msg.target)
        if record is None:
            return
        before = record.health
        self._observe(record, ReportReceived(msg.report, msg.asked_at), now)
        record.anchor(before)
        record.note_report(msg.report.in_flight, self._trust(record, now))

    @handle.register
    def _(self, msg: LoadMissed, now: float) -> None:
        record = self._records.get(msg.target)
        if record is not None:
            self._observe(record, PollFailed(), now)

    @handle.register
    def _(self, msg: Admit, now: float) -> Outcome[int]:
        record = self._records.get(msg.target)
        if record is None or not record.is_owned:
            return refused(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        code = self._refusal(record, msg, now)
        record.note_demand(msg.team, msg.work, now)
        if code is not None:
            text = f"target {msg.target!r} is {code.value}"
            return refused(code, text, retry_after_s=RETRY_AFTER_S)
        ticket = next(self._numbers)
        self._tickets[ticket] = _Ticket(msg.target, msg.team)
        record.load.change(1)
        record.teams[msg.team] += 1
        return Ok(ticket)

    @handle.register
    def _(self, msg: Answered, now: float) -> None:
        ticket = self._tickets.get(msg.ticket)
        if ticket is None:
            raise InvariantError(f"ticket {msg.ticket} was answered but is not in flight")
        record = self._records[ticket.target]
        record.note_answer(msg.ticket, now)
        self._observe(record, FirstByteReceived(msg.first_byte_s), now)

    @handle.register
    def _(self, msg: Release, now: float) -> None:
        ticket = self._tickets.pop(msg.ticket, None)
        if ticket is None:
            raise InvariantError(f"ticket {msg.ticket} was given back twice or never taken")
        record = self._records[ticket.target]
        record.forget(msg.ticket)
        record.load.change(-1)
        record.teams[ticket.team] -= 1
        if record.teams[ticket.team] == 0:
            del record.teams[ticket.team]
        if msg.failed:
            record.anchored.clear()
            self._observe(record, AttemptFailed(), now)
            self._poll(ticket.target)
        self._drop_if_idle(ticket.target)

    @handle.register
    def _(self, msg: GetTargetReports, now: float) -> tuple[TargetReport, ...]:
        reports = []
        for record in self._owned():
            policy = self._policy(record.owned.target.service)
            load = self._target_load(record, policy, now)
            reports.append(build_target_report(policy, load, msg.owner, now))
        return tuple(reports)

    @handle.register
    def _(self, msg: WouldAdmit, now: float) -> Refusal | None:
        record = self._records.get(msg.target)
        if record is None or not record.is_owned:
            return Refusal(RefusalCode.NOT_OWNER, f"this host does not own {msg.target!r}")
        policy = self._policy(record.owned.target.service)
        code = refusal_of(policy, self._target_load(record, policy, now), msg.chat_id, now)
        if code is None:
            return None
        return Refusal(code, f"target {msg.target!r} is {code.value}")

    def _refusal(self, record: TargetRecord, msg: Admit, now: float) -> RefusalCode | None:
        policy = self._policy(record.owned.target.service)
        load = self._target_load(record, policy, now)
        bound = target_bound(policy, load, now)
        code = refusal_of(policy, load, msg.chat_id, now, msg.no_other)
        if code is not None:
            if load.trust is not Trust.SETTLED or start_limit_binds(policy, load, now):
                self._poll(msg.target)
            return code
        left = bound - load.foreign
        if not is_within_share(msg.team, msg.work, left, self._weights, record.demand(), now):
            return RefusalCode.FULL
        return None

    def _target_load(self, record: TargetRecord, policy: Policy, now: float) -> TargetLoad:
        target = record.owned.target
        return TargetLoad(
            target=target.name,
            in_flight=record.load.in_flight,
            foreign=record.foreign,
            limit=self._limit(target.name, policy),
            service=self._service_load(target.service, now),
            health=record.health,
            trust=self._trust(record, now),
            proven=record.is_proven(),
        )

    def _trust(self, record: TargetRecord, now: float) -> Trust:
        return trust_of(record.health, record.previous() is not None, self._takeover_s, now)

    def _take(self, owned: OwnedTarget, now: float) -> None:
        record = self._records.get(owned.target.name)
        if record is None:
            health = initial_health(now, owned.reports, owned.joined)
            self._records[owned.target.name] = TargetRecord(owned, health)
            return
        moved = record.owned.target.address != owned.target.address
        if moved or not record.is_owned or record.health.reports_load != owned.reports:
            record.gain(owned, initial_health(now, owned.reports, owned.joined or moved))
        record.owned = owned

    def _observe(self, record: TargetRecord, event: object, now: float) -> None:
        before = record.health
        record.health = observe(event, before, now)
        target = record.owned.target
        policy = self._policy(target.service)
        limit = self._limit(target.name, policy)
        record.health = emit_changes(target.name, before, record.health, policy, limit, now)

    def _drop_if_idle(self, name: TargetName) -> None:
        record = self._records[name]
        if not record.is_owned and record.load.in_flight == 0:
            del self._records[name]

    def _owned(self) -> Iterator[TargetRecord]:
        return (record for record in self._records.values() if record.is_owned)

    def _digest(self, service: ServiceName, now: float) -> ServiceDigest:
        policy = self._policy(service)
        digest = ServiceDigest(service, 0, 0)
        for record in self._owned():
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
        peers = self._peers.get(service, ServiceLoad())
        return ServiceLoad(own.in_flight + peers.in_flight, own.warm + peers.warm)

    def _policy(self, service: ServiceName) -> Policy:
        found = self._config.services.get(service)
        return found.policy if found else Policy()

    def _limit(self, target: TargetName, policy: Policy) -> int:
        override = self._config.targets.get(target)
        if override is not None and override.limit is not None:
            return override.limit
        return policy.target_limit
