"""Receive the parts of one relayed response."""

from functools import singledispatch

from almondspindle.adapters.peer.parts import (
    Heartbeat,
    RelayedChunk,
    RelayedEnd,
    RelayedHead,
)
from almondspindle.core.calls import Completion, ResponseEnd, ResponseSink
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.relay_sequence import PartChecker


class ResponseReader:
    """Check the parts of one relayed response and write them to `sink`."""

    def __init__(self, request_id: RequestId, sink: ResponseSink) -> None:
        self.sink = sink
        self.checker = PartChecker(request_id)
        self.started = False

    async def process(self, part: object) -> Completion | None:
        """Process `part`; return the completion if the response has ended or is invalid."""
        return await _process(part, self)

    def failure(self, code: RefusalCode, message: str) -> Completion:
        """Return the completion of a response that is incomplete or invalid."""
        return Completion(self.started, Refusal(code, message, RunState.UNKNOWN))


# A singledispatch function costs a fifth of a singledispatchmethod, which is bound for each part.
@singledispatch
async def _process(part: object, reader: ResponseReader) -> Completion | None:
    raise InvariantError(f"unexpected response part {type(part).__name__}")


@_process.register
async def _(part: RelayedChunk, reader: ResponseReader) -> Completion | None:
    problem = reader.checker.check_sequence(part.sequence)
    if problem is not None:
        return reader.failure(RefusalCode.RESPONSE_BROKEN, problem)
    await reader.sink.write(part.chunk)
    return None


@_process.register
async def _(part: RelayedHead, reader: ResponseReader) -> Completion | None:
    problem = reader.checker.check_request_id(part.request_id)
    if reader.started:
        problem = "received a second response head"
    if problem is not None:
        return reader.failure(RefusalCode.RESPONSE_BROKEN, problem)
    reader.started = True
    await reader.sink.write(part.head)
    return None


@_process.register
async def _(part: RelayedEnd, reader: ResponseReader) -> Completion | None:
    problem = reader.checker.check_request_id(part.request_id) or reader.checker.check_sequence(
        part.sequence
    )
    if problem is not None:
        return reader.failure(RefusalCode.RESPONSE_BROKEN, problem)
    await reader.sink.write(ResponseEnd())
    return Completion(started=True)


@_process.register
async def _(part: Heartbeat, reader: ResponseReader) -> Completion | None:
    return None


@_process.register
async def _(part: Refusal, reader: ResponseReader) -> Completion | None:
    return Completion(reader.started, part)
