"""Measure the requests of a chain, for the service-level objectives."""

import math
from dataclasses import dataclass, field

from almondspindle.chain.base import Chain
from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.core.calls import (
    Call,
    Completion,
    ResponseChunk,
    ResponsePart,
    ResponseSink,
    WorkKind,
)
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import RefusalCode
from almondspindle.core.telemetry import RequestMeasurement

MS_PER_S = 1000.0

# Refusals that the caller can avoid, or that a limit of its team requires. They don't count as
# failures of the service.
CALLER_FAULTS = frozenset(
    {
        RefusalCode.MALFORMED_REQUEST,
        RefusalCode.BODY_TOO_LARGE,
        RefusalCode.UNAUTHENTICATED,
        RefusalCode.FORBIDDEN,
        RefusalCode.UNKNOWN_SERVICE,
        RefusalCode.UNKNOWN_PATH,
        RefusalCode.KEY_MISSING,
        RefusalCode.KEY_MALFORMED,
        RefusalCode.KEY_EXPIRED,
        RefusalCode.KEY_REUSED,
        RefusalCode.RESPONSE_NOT_STORED,
        RefusalCode.IN_PROGRESS,
        RefusalCode.RATE_LIMITED,
    }
)


@dataclass(slots=True)
class TimingSink:
    """Forward parts, and record when the first chunk arrives and the gaps before later chunks.

    A gap is the time from the end of one write to the next chunk, so that a caller that reads
    slowly does not make the target look slow. `gaps_ms` counts the gaps by length in ms.
    """

    sink: ResponseSink
    clock: Clock
    first_at: float | None = None
    idle_since: float | None = None
    gaps_ms: dict[int, int] = field(default_factory=dict)

    async def write(self, part: ResponsePart) -> None:
        """Forward `part`."""
        if isinstance(part, ResponseChunk):
            self._record_arrival(self.clock.monotonic())
        await self.sink.write(part)
        self.idle_since = self.clock.monotonic()

    def _record_arrival(self, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        elif self.idle_since is not None:
            gap_ms = math.ceil((now - self.idle_since) * MS_PER_S)
            self.gaps_ms[gap_ms] = self.gaps_ms.get(gap_ms, 0) + 1


@dataclass(frozen=True, slots=True)
class MeasuredChain:
    """A chain that reports finished requests to the collector, except those in `CALLER_FAULTS`."""

    chain: Chain
    collector: CollectorController
    clock: Clock

    async def run(self, call: Call, sink: ResponseSink) -> Completion:
        """Process `call` and return how it ended."""
        started_at = self.clock.monotonic()
        timed = TimingSink(sink, self.clock)
        filtered = await self.chain.apply_filters(call)
        completion = await self.chain.finish(filtered, timed)
        if not is_caller_fault(completion):
            self.collector.send(measurement_of(filtered.call, completion, timed, started_at))
        return completion


def is_caller_fault(completion: Completion) -> bool:
    """Return whether the request was refused with one of `CALLER_FAULTS`."""
    return completion.refusal is not None and completion.refusal.code in CALLER_FAULTS


def measurement_of(
    call: Call, completion: Completion, timed: TimingSink, started_at: float
) -> RequestMeasurement:
    """Return the measurement of a finished request."""
    # A call refused before its kind of work was determined counts as a read.
    work = call.work or WorkKind.READ
    first_ms = None
    if work is WorkKind.CHAT and timed.first_at is not None:
        first_ms = math.ceil((timed.first_at - started_at) * MS_PER_S)
    gaps = timed.gaps_ms if work is WorkKind.CHAT else {}
    assert call.service is not None
    return RequestMeasurement(call.service, work, completion.refusal is not None, first_ms, gaps)
