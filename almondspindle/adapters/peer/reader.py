"""Follow the parts of one relayed answer."""

from functools import singledispatch

from almondspindle.adapters.peer.parts import Heartbeat, RelayedChunk, RelayedEnd, RelayedHead
from almondspindle.core.calls import Completion, ResponseEnd, ResponseSink
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.relay_sequence import PartChecker


class AnswerReader:
    """Check the parts of one relayed answer and pass them on."""

    def __init__(self, request_id: RequestId, sink: ResponseSink) -> None:
        self.sink = sink
        self.order = PartChecker(request_id)
        self.started = False

    async def take(self, part: object) -> Completion | None:
        """Pass `part` on; return how the answer ended when `part` is its last."""
        return await _take(part, self)

    def broken(self, code: RefusalCode, message: str) -> Completion:
        """Return the end of an answer whose rest will not come."""
        return Completion(self.started, Refusal(code, message, RunState.UNKNOWN))


# A function dispatches at a fifth of the cost of a method, which is bound anew for each part.
@singledispatch
async def _take(part: object, reader: AnswerReader) -> Completion | None:
    raise InvariantError(f"unexpected answer part {type(part).__name__}")


@_take.register
async def _(part: RelayedChunk, reader: AnswerReader) -> Completion | None:
    problem = reader.order.check_sequence(part.sequence)
    if problem is not None:
        return reader.broken(RefusalCode.RESPONSE_BROKEN, problem)
    await reader.sink.write(part.chunk)
    return None


@_take.register
async def _(part: RelayedHead, reader: AnswerReader) -> Completion | None:
    problem = reader.order.check_request_id(part.request_id)
    if reader.started:
        problem = "a second head came"
    if problem is not None:
        return reader.broken(RefusalCode.RESPONSE_BROKEN, problem)
    reader.started = True
    await reader.sink.write(part.head)
    return None


@_take.register
async def _(part: RelayedEnd, reader: AnswerReader) -> Completion | None:
    problem = reader.order.check_request_id(part.request_id) or reader.order.check_sequence(
        part.sequence
    )
    if problem is not None:
        return reader.broken(RefusalCode.RESPONSE_BROKEN, problem)
    await reader.sink.write(ResponseEnd())
    return Completion(started=True)


@_take.register
async def _(part: Heartbeat, reader: AnswerReader) -> Completion | None:
    return None


@_take.register
async def _(part: Refusal, reader: AnswerReader) -> Completion | None:
    return Completion(reader.started, part)
