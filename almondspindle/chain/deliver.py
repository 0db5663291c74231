"""Send a call to a target, retry on other targets where allowed, and forward the response."""

import asyncio
from typing import Generic, Protocol, TypeVar

from almondspindle.controllers.placement.messages import AttemptEnded, SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.quarantine.messages import CheckPrompt, PromptAttemptEnded
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.core.calls import Call, Completion, ResponseEnd, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.events import ATTEMPT_ENDED, RETRY_REFUSED, ROUTED
from almondspindle.core.identifiers import TargetName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import CRASHES, LATER_ATTEMPTS, MetricSender
from almondspindle.core.outcomes import (
    InvariantError,
    Ok,
    Outcome,
    Refusal,
    RefusalCode,
    RunState,
)
from almondspindle.core.placements import AttemptEnd, AttemptReport, Placement
from almondspindle.core.routes import Route
from almondspindle.decisions.attempts import (
    AttemptStep,
    RequestAttempts,
    add_attempt,
    idle_timeouts,
    next_step,
    refusal_after,
)
from almondspindle.decisions.idle_timeout import IdleTimeouts


class ResponseProgress(Protocol):
    """The progress of a response to the caller, over one or more attempts."""

    @property
    def started(self) -> bool:
        """Return whether a part of the response has been forwarded."""
        ...

    @property
    def last_event(self) -> int | None:
        """Return the number of the last event forwarded, or None if there is none."""
        ...

    async def flush(self) -> None:
        """Forward the buffered part of the response."""
        ...


P = TypeVar("P", bound=ResponseProgress)


class AttemptClient(Protocol[P]):
    """Client that sends calls to targets, one attempt at a time."""

    def begin_response(self, call: Call, sink: ResponseSink) -> P:
        """Return the progress of a response to `call` that is written to `sink`."""
        ...

    async def attempt(self, call: Call, progress: P, timeouts: IdleTimeouts) -> AttemptReport:
        """Send `call` to its target once and feed the response to `progress`."""
        ...


class DeliverToTarget(Generic[P]):
    """The terminal for calls with a route: try targets in turn, as decisions.attempts allows."""

    def __init__(
        self,
        placement: PlacementController,
        quarantine: QuarantineController,
        client: AttemptClient[P],
        clock: Clock,
        metrics: MetricSender,
    ) -> None:
        self._placement = placement
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._metrics = metrics

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Write the response to `call` into `sink` and return how the call ended."""
        if call.route is None or call.service is None:
            raise InvariantError("a call without a route reached the terminal")
        progress = self._client.begin_response(call, sink)
        attempts, tried = RequestAttempts(), list[TargetName]()
        last: AttemptReport | None = None
        while True:
            selected = await self._placement.request(
                self._placement_request(call, tuple(tried), last)
            )
            if selected.is_error():
                if last is None:
                    return Completion(progress.started, selected.error)
                self._log_refused_retry(call, last, selected.error)
                return Completion(progress.started, refusal_after(attempts, last))
            tried.append(selected.ok.target)
            last = await self._attempt(call, call.route, selected.ok, progress)
            attempts = add_attempt(attempts, last)
            left_s = call.deadline_at - self._clock.monotonic()
            step = next_step(call.route, attempts, last, left_s)
            if step is AttemptStep.DELIVER:
                await progress.flush()
                await sink.write(ResponseEnd())
                return Completion(started=True)
            self._log_failure(call, selected.ok, last, step)
            if last.target_is_down:
                self._metrics.count(CRASHES)
            if step is AttemptStep.GIVE_UP:
                return Completion(progress.started, self._refusal(attempts, last))
            allowed = await self._check_retry(call, attempts)
            if allowed.is_error():
                self._log_refused_retry(call, last, allowed.error)
                return Completion(progress.started, self._refusal(attempts, last))
            self._metrics.count(LATER_ATTEMPTS)

    def _placement_request(
        self, call: Call, tried: tuple[TargetName, ...], last: AttemptReport | None
    ) -> SelectTarget:
        if call.service is None:
            raise InvariantError("a call without a service reached the terminal")
        is_retry = last is not None and last.end is not AttemptEnd.NOT_CONNECTED
        key = call.prompt.shared_key if call.prompt else ""
        return SelectTarget(call.service, key, call.request_id, tried, is_retry=is_retry)

    async def _check_retry(self, call: Call, attempts: RequestAttempts) -> Outcome[None]:
        """Return a refusal if the prompt is suspected to crash the next target, too."""
        parts = frozenset(call.shared_parts)
        if not parts:
            return Ok(None)
        return await self._quarantine.request(
            CheckPrompt(parts, is_retry=attempts.may_have_run > 0)
        )

    async def _attempt(
        self, call: Call, route: Route, placement: Placement, progress: P
    ) -> AttemptReport:
        emit(
            ROUTED,
            request_id=call.request_id,
            target=placement.target,
            prompt=call.prompt.shared_key if call.prompt else "",
            reason=placement.reason,
            load=placement.load,
            copy_from=placement.copy_from,
        )
        attempt_call = call.copy_with(
            target=placement.target,
            target_address=placement.address,
            resume_after=progress.last_event,
            copy_from=placement.copy_from,
        )
        report = AttemptReport(AttemptEnd.ABANDONED)
        parts, sent_at = frozenset(call.shared_parts), self._clock.monotonic()
        try:
            async with asyncio.timeout(call.deadline_at - self._clock.monotonic()):
                report = await self._client.attempt(attempt_call, progress, idle_timeouts(route))
        except TimeoutError:
            report = AttemptReport(AttemptEnd.TIMED_OUT, started=progress.started)
        finally:
            self._placement.send(AttemptEnded(placement.ticket, report))
            if parts:
                self._quarantine.send(
                    PromptAttemptEnded(call.request_id, parts, placement.address, sent_at, report)
                )
        return report

    def _refusal(self, attempts: RequestAttempts, last: AttemptReport) -> Refusal:
        if last.end is AttemptEnd.TIMED_OUT:
            return Refusal(RefusalCode.DEADLINE_EXCEEDED, "deadline exceeded", RunState.UNKNOWN)
        return refusal_after(attempts, last)

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
            next=step,
        )
