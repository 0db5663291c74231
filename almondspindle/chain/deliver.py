"""Send a call to a target, retry on other targets where allowed, and forward the response."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Generic

from almondspindle.chain.attempt_client import AttemptClient, P
from almondspindle.controllers.placement.messages import (
    AttemptEnded,
    SelectTarget,
    TargetFellSilent,
)
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.quarantine.messages import CheckRequest, RequestAttemptEnded
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.controllers.rollouts.messages import AttemptObserved
from almondspindle.core.calls import Call, Completion, ResponseEnd, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.events import ATTEMPT_ENDED, RETRY_REFUSED, ROUTED, TARGET_SILENT
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import CRASHES, LATER_ATTEMPTS, MetricSender
from almondspindle.core.outcomes import (
    Error,
    InvariantError,
    Ok,
    Outcome,
    Refusal,
    RefusalCode,
    RunState,
    refused,
)
from almondspindle.core.placements import AttemptEnd, AttemptReport, Placement
from almondspindle.core.routes import Route
from almondspindle.decisions.attempts import (
    NOT_SENT_ENDS,
    AttemptStep,
    RequestAttempts,
    add_attempt,
    idle_timeouts,
    is_silence_over,
    keeps_answer,
    may_leave_target,
    may_return,
    next_step,
    refusal_after,
)

SILENT = AttemptReport(AttemptEnd.IDLE_TIMEOUT)


@dataclass(slots=True)
class _Delivery(Generic[P]):
    """A call on its way: its attempts so far and, if reserved already, the next one's target.

    `has_answer` is set while `progress` holds a complete error response. `silent_ticket` is that of
    the attempt whose target was last reported as silent. `left` is the target that the call left as
    it was silent.
    """

    call: Call
    route: Route
    progress: P
    attempts: RequestAttempts = field(default_factory=RequestAttempts)
    tried: list[TargetName] = field(default_factory=list)
    next: Placement | None = None
    has_answer: bool = False
    silent_ticket: int | None = None
    left: TargetName | None = None


class DeliverToTarget(Generic[P]):
    """The terminal for calls with a route: try targets in turn, as decisions.attempts allows."""

    def __init__(
        self,
        placement: PlacementController,
        quarantine: QuarantineController,
        client: AttemptClient[P],
        clock: Clock,
        metrics: MetricSender,
        on_attempt: Callable[[AttemptObserved], None] = lambda attempt: None,
    ) -> None:
        self._placement = placement
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._on_attempt = on_attempt

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Write the response to `call` into `sink` and return how the call ended."""
        if call.route is None or call.service is None:
            raise InvariantError("a call without a route reached the terminal")
        delivery = _Delivery(call, call.route, self._client.begin_response(call, sink))
        try:
            return await self._deliver(delivery, sink)
        finally:
            self._release_next(delivery)

    async def _deliver(self, delivery: _Delivery[P], sink: ResponseSink) -> Completion:
        call, route, progress = delivery.call, delivery.route, delivery.progress
        last: AttemptReport | None = None
        while True:
            selected = await self._select(delivery, last)
            if selected.is_error():
                if last is None:
                    return Completion(progress.started, selected.error)
                if await self._return(delivery, last):
                    continue
                self._log_refused_retry(call, last, selected.error)
                return await self._end_without_retry(delivery, last, sink, selected.error)
            delivery.tried.append(selected.ok.target)
            last = await self._attempt(delivery, selected.ok)
            delivery.attempts = attempts = add_attempt(delivery.attempts, last)
            delivery.has_answer = keeps_answer(delivery.has_answer, last)
            step = next_step(route, attempts, last, self._remaining_s(call))
            if step is AttemptStep.DELIVER:
                return await self._complete(progress, sink)
            self._log_failure(call, selected.ok, last, step)
            if last.target_is_down:
                self._metrics.count(CRASHES)
            if last.end is AttemptEnd.IDLE_TIMEOUT:
                delivery.left = selected.ok.target
            if step is AttemptStep.GIVE_UP and not await self._return(delivery, last):
                return await self._end_without_retry(delivery, last, sink)
            if delivery.next is None:
                allowed = await self._check_retry(call, attempts)
                if allowed.is_error():
                    self._log_refused_retry(call, last, allowed.error)
                    return await self._end_without_retry(delivery, last, sink, allowed.error)
            self._metrics.count(LATER_ATTEMPTS)

    async def _return(self, delivery: _Delivery[P], last: AttemptReport) -> bool:
        """Reserve the silent target that the call has left, since the one after it failed.

        Return False if that isn't possible.
        """
        left, delivery.left = delivery.left, None
        if left is None or last.end is AttemptEnd.IDLE_TIMEOUT:
            return False
        if not may_return(delivery.route, last, self._remaining_s(delivery.call)):
            return False
        wanted = self._placement_request(delivery, is_retry=True)
        selected = await self._reserve(replace(wanted, tried_targets=(), only_target=left))
        if selected.is_error():
            self._log_refused_retry(delivery.call, last, selected.error)
            return False
        delivery.next = selected.ok
        return True

    async def _complete(self, progress: P, sink: ResponseSink) -> Completion:
        await progress.flush()
        await sink.write(ResponseEnd())
        return Completion(started=True)

    async def _end_without_retry(
        self,
        delivery: _Delivery[P],
        last: AttemptReport,
        sink: ResponseSink,
        reason: Refusal | None = None,
    ) -> Completion:
        """End a call that can't be retried, with the target's error response if it sent one.

        `reason` is why a retry that could have been made was refused.
        """
        if delivery.has_answer:
            return await self._complete(delivery.progress, sink)
        wait_s = reason.retry_after_s if reason else None
        refusal = self._refusal(delivery.attempts, last, wait_s)
        return Completion(delivery.progress.started, refusal)

    async def _select(
        self, delivery: _Delivery[P], last: AttemptReport | None
    ) -> Outcome[Placement]:
        """Return the target of the next attempt, which may have been reserved already."""
        reserved, delivery.next = delivery.next, None
        if reserved is not None:
            return Ok(reserved)
        is_retry = last is not None and last.end not in NOT_SENT_ENDS
        return await self._reserve(self._placement_request(delivery, is_retry))

    async def _reserve(self, wanted: SelectTarget) -> Outcome[Placement]:
        return await self._placement.request_reservation(wanted, self._release)

    def _release(self, selected: Outcome[Placement]) -> None:
        """Release a target that was selected for an attempt that isn't made."""
        if selected.is_ok():
            report = AttemptReport(AttemptEnd.ABANDONED)
            self._placement.send(AttemptEnded(selected.ok.ticket, report))

    async def _may_leave(self, delivery: _Delivery[P], placement: Placement, silences: int) -> bool:
        """Reserve a target to which the call may go from the silent target of `placement`.

        Return False if there is none. The silent target may be sound and is given up only then, but
        it is reported, so that other requests avoid it. `silences` is the number of idle time-outs
        since its last byte.
        """
        if delivery.next is not None:
            return True
        reserved = await self._reserve_next(delivery, silences)
        if reserved.is_ok():
            delivery.next = reserved.ok
            return True
        if delivery.silent_ticket != placement.ticket:
            delivery.silent_ticket = placement.ticket
            self._placement.send(TargetFellSilent(placement.ticket))
            emit(
                TARGET_SILENT,
                request_id=delivery.call.request_id,
                target=placement.target,
                code=reserved.error.code,
                reason=reserved.error.message,
            )
        return False

    async def _reserve_next(self, delivery: _Delivery[P], silences: int) -> Outcome[Placement]:
        call = delivery.call
        if not is_silence_over(delivery.route, silences):
            return refused(RefusalCode.TARGET_UNREACHABLE, "a sound target may be silent as long")
        if not may_leave_target(delivery.route, delivery.attempts, self._remaining_s(call)):
            return refused(RefusalCode.TARGET_UNREACHABLE, "this is the last attempt")
        allowed = await self._check_retry(call, add_attempt(delivery.attempts, SILENT))
        if allowed.is_error():
            return Error(allowed.error)
        wanted = self._placement_request(delivery, is_retry=True)
        return await self._reserve(replace(wanted, only_healthy=True))

    def _release_next(self, delivery: _Delivery[P]) -> None:
        """Release the target reserved for an attempt that isn't made."""
        if delivery.next is not None:
            self._release(Ok(delivery.next))
            delivery.next = None

    def _remaining_s(self, call: Call) -> float:
        return call.deadline_at - self._clock.monotonic()

    def _placement_request(self, delivery: _Delivery[P], is_retry: bool) -> SelectTarget:
        call = delivery.call
        if call.service is None:
            raise InvariantError("a call without a service reached the terminal")
        key = call.prompt.shared_key if call.prompt else ""
        tried = tuple(delivery.tried)
        return SelectTarget(
            call.service,
            key,
            call.request_id,
            tried,
            is_retry=is_retry,
            version=call.version,
            avoided_addresses=call.avoided_addresses,
            objective_s=delivery.route.objective_s,
        )

    async def _check_retry(self, call: Call, attempts: RequestAttempts) -> Outcome[frozenset[str]]:
        """Return a refusal if the call is suspected to crash the next target, too."""
        if not call.content_ids:
            return Ok(frozenset())
        return await self._quarantine.request(
            CheckRequest(call.content_ids, is_retry=attempts.may_have_run > 0)
        )

    async def _attempt(self, delivery: _Delivery[P], placement: Placement) -> AttemptReport:
        call, progress = delivery.call, delivery.progress
        emit(
            ROUTED,
            request_id=call.request_id,
            target=placement.target,
            prompt=call.prompt.shared_key if call.prompt else "",
            reason=placement.reason,
            load=placement.load,
            copy_from=placement.copy_from,
            **({"version": placement.version} if placement.is_rolling_out else {}),
        )
        attempt_call = call.copy_with(
            target=placement.target,
            target_address=placement.address,
            resume_after=progress.last_event,
            copy_from=placement.copy_from,
            ticket=placement.ticket,
        )
        report = AttemptReport(AttemptEnd.ABANDONED)
        sent_at = self._clock.monotonic()
        timeouts = idle_timeouts(delivery.route)
        try:
            async with asyncio.timeout(self._remaining_s(call)):
                report = await self._client.attempt(
                    attempt_call,
                    progress,
                    timeouts,
                    lambda silences: self._may_leave(delivery, placement, silences),
                )
        except TimeoutError:
            report = AttemptReport(AttemptEnd.TIMED_OUT, started=progress.started)
        finally:
            self._placement.send(AttemptEnded(placement.ticket, report))
            self._observe(delivery, placement, sent_at, report)
            self._report_to_quarantine(call, placement, sent_at, report)
        if report.end is not AttemptEnd.IDLE_TIMEOUT:
            self._release_next(delivery)
        return report

    def _observe(
        self, delivery: _Delivery[P], placement: Placement, sent_at: float, report: AttemptReport
    ) -> None:
        if placement.is_rolling_out:
            self._on_attempt(
                AttemptObserved(
                    ServiceName(delivery.call.service or ""),
                    delivery.route,
                    placement.target,
                    placement.version,
                    placement.is_cold,
                    self._clock.monotonic() - sent_at,
                    report,
                )
            )

    def _report_to_quarantine(
        self, call: Call, placement: Placement, sent_at: float, report: AttemptReport
    ) -> None:
        if call.content_ids:
            self._quarantine.send(
                RequestAttemptEnded(
                    call.request_id,
                    call.content_ids,
                    placement.address,
                    sent_at,
                    report,
                    call.service or "",
                )
            )

    def _refusal(
        self, attempts: RequestAttempts, last: AttemptReport, retry_after_s: float | None
    ) -> Refusal:
        if last.end is AttemptEnd.TIMED_OUT:
            return Refusal(RefusalCode.DEADLINE_EXCEEDED, "deadline exceeded", RunState.UNKNOWN)
        return refusal_after(attempts, last, retry_after_s)

    def _log_refused_retry(self, call: Call, last: AttemptReport, refusal: Refusal) -> None:
        emit(
            RETRY_REFUSED,
            request_id=call.request_id,
            code=refusal.code,
            reason=refusal.message,
            last_end=last.end,
            started=last.started,
        )

    def _log_failure(
        self, call: Call, placement: Placement, report: AttemptReport, step: AttemptStep
    ) -> None:
        emit(
            ATTEMPT_ENDED,
            request_id=call.request_id,
            target=placement.target,
            end=report.end,
            status=report.status,
            started=report.started,
            detail=report.detail,
            wrote_body=report.wrote_body,
            target_is_down=report.target_is_down,
            parts=call.shared_parts,
            content=call.content_id,
            next=step,
        )
