"""The filter protocol and the chain."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol

from almondspindle.core.calls import (
    Call,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponseSink,
)
from almondspindle.core.claims import ReplayedResponse
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import InvariantError, Refusal, Result
from almondspindle.decisions.idempotency_keys import qualify_run_state

REPLAY_HEADER = ("Idempotent-Replayed", "true")

# What may end a walk before the terminal.
EarlyResult = Refusal | ReplayedResponse


class Filter(Protocol):
    """One step of a chain. It returns the call with what it found out, or a refusal."""

    async def apply(self, call: Call, now: float) -> Result[Call, EarlyResult]:
        """Return the call to hand to the next filter, or what ends the walk here.

        `now` is in seconds on the process's monotonic clock.
        """
        ...


class Terminal(Protocol):
    """The last step of a chain. It passes the answer to the sink."""

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Write the answer to `call` into `sink` and return how that ended."""
        ...


@dataclass(frozen=True, slots=True)
class FilteredCall:
    """A call after the filters; `stop` is set when one of them ended the walk."""

    call: Call
    early_result: EarlyResult | None = None


@dataclass(frozen=True, slots=True)
class Chain:
    """Filters in order, then a terminal. A call walks from left to right and never back."""

    filters: Sequence[Filter]
    terminal: Terminal
    clock: Clock

    async def run(self, call: Call, sink: ResponseSink) -> Completion:
        """Walk `call` through the chain and return how its answer ended."""
        walked = await self.apply_filters(call)
        return await self.finish(walked, sink)

    async def apply_filters(self, call: Call) -> FilteredCall:
        """Walk `call` through the filters and return how far it got."""
        for step in self.filters:
            outcome = await step.apply(call, self.clock.monotonic())
            if outcome.is_error():
                return FilteredCall(call, outcome.error)
            call = outcome.ok
        return FilteredCall(call)

    async def finish(self, walked: FilteredCall, sink: ResponseSink) -> Completion:
        """Have the terminal answer a call that passed all filters; return how that ended."""
        if walked.early_result is not None:
            return await finish_early(walked.early_result, walked.call, sink)
        return await self.terminal.finish(walked.call, sink, self.clock.monotonic())


@singledispatch
async def finish_early(stop: object, call: Call, sink: ResponseSink) -> Completion:
    """End a walk with `stop` and return how that ended."""
    raise InvariantError(f"unexpected end of a walk {type(stop).__name__}")


@finish_early.register
async def _(stop: Refusal, call: Call, sink: ResponseSink) -> Completion:
    return Completion(started=False, refusal=qualify_run_state(call, stop))


@finish_early.register
async def _(stop: ReplayedResponse, call: Call, sink: ResponseSink) -> Completion:
    answer = stop.response
    await sink.write(ResponseHead(answer.status, (*answer.headers, REPLAY_HEADER), answer.target))
    if answer.body:
        await sink.write(ResponseChunk(answer.body))
    await sink.write(ResponseEnd())
    return Completion(started=True)
