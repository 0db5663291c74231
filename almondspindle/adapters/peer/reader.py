"""Follow the parts of one relayed answer."""

from functools import singledispatchmethod

from almondspindle.adapters.peer.parts import Heartbeat, RelayedChunk, RelayedEnd, RelayedHead
from almondspindle.core.calls import AnswerEnd, AnswerSink, Finished
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.part_order import PartOrder


class AnswerReader:
    """Check the parts of one relayed answer and pass them on."""

    def __init__(self, request_id: RequestId, sink: AnswerSink) -> None:
        self._sink = sink
        self._order = PartOrder(request_id)
        self._started = False

    @singledispatchmethod
    async def take(self, part: object) -> Finished | None:
        """Pass `part` on; return how the answer ended when `part` is its last."""
        raise InvariantError(f"unexpected answer part {type(part).__name__}")

    @take.register
    async def _(self, part: RelayedChunk) -> Finished | None:
        problem = self._order.numbered(part.sequence)
        if problem is not None:
            return self.broken(RefusalCode.ANSWER_BROKEN, problem)
        await self._sink.write(part.chunk)
        return None

    @take.register
    async def _(self, part: RelayedHead) -> Finished | None:
        problem = self._order.named(part.request_id)
        if self._started:
            problem = "a second head came"
        if problem is not None:
            return self.broken(RefusalCode.ANSWER_BROKEN, problem)
        self._started = True
        await self._sink.write(part.head)
        return None

    @take.register
    async def _(self, part: RelayedEnd) -> Finished | None:
        problem = self._order.named(part.request_id) or self._order.numbered(part.sequence)
        if problem is not None:
            return self.broken(RefusalCode.ANSWER_BROKEN, problem)
        await self._sink.write(AnswerEnd())
        return Finished(started=True)

    @take.register
    async def _(self, part: Heartbeat) -> Finished | None:
        return None

    @take.register
    async def _(self, part: Refusal) -> Finished | None:
        return Finished(self._started, part)

    def broken(self, code: RefusalCode, message: str) -> Finished:
        """Return the end of an answer whose rest will not come."""
        return Finished(self._started, Refusal(code, message, RunState.UNKNOWN))
