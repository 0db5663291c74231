"""Send a call to its target and forward the response."""

from functools import singledispatch
from typing import Protocol

from almondspindle.controllers.admission.messages import FirstByteReceived, ReleaseTicket
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import Call, Completion, ResponseHead, ResponsePart, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import RefusalCode

# Refusals that count as failures of the target.
FAILURE_CODES = frozenset({RefusalCode.TARGET_UNREACHABLE, RefusalCode.RESPONSE_BROKEN})


class TargetClient(Protocol):
    """Client that sends calls to targets."""

    async def send(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Send `call` to its target once and write the response into `sink`."""
        ...


class _FirstByteSink:
    """Forward all parts, and report to admission when the head arrives, as the first byte."""

    def __init__(
        self, sink: ResponseSink, admission: AdmissionController, clock: Clock, ticket: int
    ) -> None:
        self._sink = sink
        self.admission = admission
        self.clock = clock
        self.ticket = ticket
        self.sent_at = clock.monotonic()

    async def write(self, part: ResponsePart) -> None:
        """Forward `part`."""
        _report_first_byte(part, self)
        await self._sink.write(part)


# A singledispatch function costs a fifth of a singledispatchmethod, which is bound for each part.
@singledispatch
def _report_first_byte(part: object, sink: _FirstByteSink) -> None:
    """Report nothing for the parts after the head."""


@_report_first_byte.register
def _(part: ResponseHead, sink: _FirstByteSink) -> None:
    first_byte_s = sink.clock.monotonic() - sink.sent_at
    sink.admission.send(FirstByteReceived(sink.ticket, first_byte_s))


class SendToTarget:
    """The owner's terminal: make one attempt, then release the ticket."""

    def __init__(self, targets: TargetClient, admission: AdmissionController, clock: Clock) -> None:
        self._targets = targets
        self._admission = admission
        self._clock = clock

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Return how the attempt ended. The ticket is released on cancellation, too."""
        assert call.ticket is not None
        failed = False
        try:
            timed_sink = _FirstByteSink(sink, self._admission, self._clock, call.ticket)
            completion = await self._targets.send(call, timed_sink, now)
            failed = completion.refusal is not None and completion.refusal.code in FAILURE_CODES
            return completion
        finally:
            self._admission.send(ReleaseTicket(call.ticket, failed))
