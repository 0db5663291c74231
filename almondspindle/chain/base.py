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
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import InvariantError, Refusal, Result
from almondspindle.core.recorded_responses import ReplayedResponse
from almondspindle.decisions.idempotency_keys import qualify_run_state

REPLAY_HEADER = ("Idempotent-Replayed", "true")

# A result that ends the chain before its terminal.
EarlyResult = Refusal | ReplayedResponse


class Filter(Protocol):
    """One step of a chain: it checks a call or adds to it."""

    async def apply(self, call: Call, now: float) -> Result[Call, EarlyResult]:
        """Return the call for the next filter, or the result that ends the chain here.

        `now` is in seconds on this process's monotonic clock.
        """
        ...


class Terminal(Protocol):
    """The last step of a chain. It writes the response to the sink."""

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Write the response to `call` into `sink` and return how the call ended."""
        ...


@dataclass(frozen=True, slots=True)
class FilteredCall:
    """A call after the filters. `early_result` is set if one of them ended the chain."""

    call: Call
    early_result: EarlyResult | None = None


@dataclass(frozen=True, slots=True)
class Chain:
    """Filters that are applied in order, and the terminal that follows them."""

    filters: Sequence[Filter]
    terminal: Terminal
    clock: Clock

    async def run(self, call: Call, sink: ResponseSink) -> Completion:
        """Process `call` and return how it ended."""
        filtered = await self.apply_filters(call)
        return await self.finish(filtered, sink)

    async def apply_filters(self, call: Call) -> FilteredCall:
        """Apply the filters to `call` until one of them ends the chain."""
        for step in self.filters:
            outcome = await step.apply(call, self.clock.monotonic())
            if outcome.is_error():
                return FilteredCall(call, outcome.error)
            call = outcome.ok
        return FilteredCall(call)

    async def finish(self, filtered: FilteredCall, sink: ResponseSink) -> Completion:
        """Write the early result, or else the terminal's response. Return how the call ended."""
        if filtered.early_result is not None:
            return await finish_early(filtered.early_result, filtered.call, sink)
        return await self.terminal.finish(filtered.call, sink, self.clock.monotonic())


@singledispatch
async def finish_early(result: object, call: Call, sink: ResponseSink) -> Completion:
    """End the chain with `result` and return how the call ended."""
    raise InvariantError(f"unexpected early result {type(result).__name__}")


@finish_early.register
async def _(result: Refusal, call: Call, sink: ResponseSink) -> Completion:
    return Completion(started=False, refusal=qualify_run_state(call, result))


@finish_early.register
async def _(result: ReplayedResponse, call: Call, sink: ResponseSink) -> Completion:
    response = result.response
    await sink.write(
        ResponseHead(response.status, (*response.headers, REPLAY_HEADER), response.target)
    )
    if response.body:
        await sink.write(ResponseChunk(response.body))
    await sink.write(ResponseEnd())
    return Completion(started=True)
