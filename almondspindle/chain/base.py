"""The filter protocol and the chain."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from almondspindle.core.calls import AnswerSink, Call, Finished
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Outcome, Refusal


class Filter(Protocol):
    """One step of a chain. It returns the call with what it found out, or a refusal."""

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call to hand to the next filter, or a refusal that ends the walk.

        `now` is in seconds on the process's monotonic clock.
        """
        ...


class Terminal(Protocol):
    """The last step of a chain. It passes the answer to the sink."""

    async def finish(self, call: Call, sink: AnswerSink, now: float) -> Finished:
        """Write the answer to `call` into `sink` and return how that ended."""
        ...


@dataclass(frozen=True, slots=True)
class Walked:
    """A call after the filters; `refusal` is set when one of them ended the walk."""

    call: Call
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class Chain:
    """Filters in order, then a terminal. A call walks from left to right and never back."""

    filters: Sequence[Filter]
    terminal: Terminal
    clock: Clock

    async def run(self, call: Call, sink: AnswerSink) -> Finished:
        """Walk `call` through the chain and return how its answer ended."""
        walked = await self.walk(call)
        return await self.finish(walked, sink)

    async def walk(self, call: Call) -> Walked:
        """Walk `call` through the filters and return how far it got."""
        for step in self.filters:
            outcome = await step.apply(call, self.clock.monotonic())
            if outcome.is_error():
                return Walked(call, outcome.error)
            call = outcome.ok
        return Walked(call)

    async def finish(self, walked: Walked, sink: AnswerSink) -> Finished:
        """Have the terminal answer a call that passed all filters; return how that ended."""
        if walked.refusal is not None:
            return Finished(started=False, refusal=walked.refusal)
        return await self.terminal.finish(walked.call, sink, self.clock.monotonic())
