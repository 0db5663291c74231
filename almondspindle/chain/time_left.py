"""Refuse calls that can't finish before the host stops, and measure how long calls take."""

from almondspindle.chain.base import Terminal
from almondspindle.controllers.durations.messages import CheckTimeLeft, RequestCompleted
from almondspindle.controllers.durations.task import DurationsController
from almondspindle.core.calls import Call, Completion, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Error, Ok, Outcome
from almondspindle.decisions.shutdown import StopSchedule


class RejectUnfinishable:
    """In a graceful shutdown, refuse a call that can't finish before its end.

    `schedule` is set when a shutdown begins.
    """

    def __init__(self, durations: DurationsController) -> None:
        self._durations = durations
        self.schedule: StopSchedule | None = None

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call, or a refusal."""
        if self.schedule is None or call.route is None:
            return Ok(call)
        checked = await self._durations.request(
            CheckTimeLeft(call.route, call.deadline_at, self.schedule)
        )
        return Error(checked.error) if checked.is_error() else Ok(call)


class MeasureDuration:
    """A terminal that reports how long another one takes for each call that it completes."""

    def __init__(self, terminal: Terminal, durations: DurationsController, clock: Clock) -> None:
        self._terminal = terminal
        self._durations = durations
        self._clock = clock

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Write the response to `call` into `sink` and return how the call ended."""
        completion = await self._terminal.finish(call, sink, now)
        if completion.refusal is None and call.route is not None:
            took_s = self._clock.monotonic() - now
            self._durations.send(RequestCompleted(call.route.name, took_s))
        return completion
