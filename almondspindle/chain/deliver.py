"""Send a call to a target, and to others where that is allowed, and pass the answer on."""

import asyncio
from typing import Generic, Protocol, TypeVar

from almondspindle.controllers.placement.messages import AttemptEnded, SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.core.calls import Call, Completion, ResponseEnd, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.events import ATTEMPT_ENDED, ROUTED
from almondspindle.core.identifiers import TargetName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import REPEATS, MetricSender
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.core.placements import AttemptEnd, AttemptReport, Placement
from almondspindle.core.routes import Route
from almondspindle.decisions.attempts import (
    AttemptCounts,
    AttemptStep,
    count_attempt,
    idle_timeouts,
    next_step,
    refusal_after,
)
from almondspindle.decisions.idle_timeout import IdleTimeouts


class ResponseProgress(Protocol):
    """An answer on its way to the caller, over one attempt or several."""

    @property
    def started(self) -> bool:
        """Return whether a part of the answer was passed on."""
        ...

    @property
    def last_event(self) -> int | None:
        """Return the number of the last event that was passed on."""
        ...

    async def flush(self) -> None:
        """Pass on what is held back of the answer, and its end."""
        ...


P = TypeVar("P", bound=ResponseProgress)


class AttemptClient(Protocol[P]):
    """The way to the targets."""

    def begin_response(self, call: Call, sink: ResponseSink) -> P:
        """Return the progress of an answer to `call` that goes to `sink`."""
        ...

    async def attempt(self, call: Call, progress: P, bounds: IdleTimeouts) -> AttemptReport:
        """Send `call` to its target once; pass parts on as `progress` allows."""
        ...


class DeliverToTarget(Generic[P]):
    """The terminal of the chain for calls with a route."""

    def __init__(
        self,
        placement: PlacementController,
        client: AttemptClient[P],
        clock: Clock,
        metrics: MetricSender,
    ) -> None:
        self._placement = placement
        self._client = client
        self._clock = clock
        self._metrics = metrics

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Answer `call` through `sink` and return how that ended."""
        if call.route is None or call.service is None:
            raise InvariantError("a call without a route reached the terminal")
        progress = self._client.begin_response(call, sink)
        tries, tried = AttemptCounts(), list[TargetName]()
        last: AttemptReport | None = None
        while True:
            placed = await self._placement.request(
                self._placement_request(call, tuple(tried), last)
            )
            if placed.is_error():
                refusal = placed.error if last is None else refusal_after(tries, last)
                return Completion(progress.started, refusal)
            tried.append(placed.ok.target)
            last = await self._attempt(call, call.route, placed.ok, progress)
            tries = count_attempt(tries, last)
            left_s = call.deadline_at - self._clock.monotonic()
            step = next_step(call.route, tries, last, left_s)
            if step is AttemptStep.DELIVER:
                await progress.flush()
                await sink.write(ResponseEnd())
                return Completion(started=True)
            self._log_failure(call, placed.ok, last, step)
            if step is AttemptStep.GIVE_UP:
                return Completion(progress.started, self._refusal(tries, last))
            self._metrics.count(REPEATS)

    def _placement_request(
        self, call: Call, tried: tuple[TargetName, ...], last: AttemptReport | None
    ) -> SelectTarget:
        if call.service is None:
            raise InvariantError("a call without a service reached the terminal")
        arrived = last is not None and last.end is not AttemptEnd.NOT_CONNECTED
        key = call.prompt.shared_key if call.prompt else ""
        return SelectTarget(call.service, key, call.request_id, tried, is_retry=arrived)

    async def _attempt(
        self, call: Call, route: Route, placed: Placement, progress: P
    ) -> AttemptReport:
        emit(
            ROUTED,
            request_id=call.request_id,
            target=placed.target,
            prompt=call.prompt.shared_key if call.prompt else "",
            reason=placed.reason,
            load=placed.load,
            copy_from=placed.copy_from,
        )
        sent = call.copy_with(
            target=placed.target,
            target_address=placed.address,
            resume_after=progress.last_event,
            copy_from=placed.copy_from,
        )
        report = AttemptReport(AttemptEnd.ABANDONED)
        try:
            async with asyncio.timeout(call.deadline_at - self._clock.monotonic()):
                report = await self._client.attempt(sent, progress, idle_timeouts(route))
        except TimeoutError:
            report = AttemptReport(AttemptEnd.TIMED_OUT, started=progress.started)
        finally:
            self._placement.send(AttemptEnded(placed.ticket, report))
        return report

    def _refusal(self, tries: AttemptCounts, last: AttemptReport) -> Refusal:
        if last.end is AttemptEnd.TIMED_OUT:
            return Refusal(RefusalCode.DEADLINE_EXCEEDED, "the time is up", RunState.UNKNOWN)
        return refusal_after(tries, last)

    def _log_failure(
        self, call: Call, placed: Placement, report: AttemptReport, step: AttemptStep
    ) -> None:
        emit(
            ATTEMPT_ENDED,
            request_id=call.request_id,
            target=placed.target,
            end=report.end,
            status=report.status,
            started=report.started,
            detail=report.detail,
            next=step,
        )
