"""Run the rest of the chain for a claimed commit, and record its outcome."""

import asyncio
from dataclasses import dataclass, field
from functools import singledispatchmethod

from almondspindle.chain.base import Chain
from almondspindle.chain.claim import commit_attempt_of
from almondspindle.controllers.claims.messages import PendingSettlement
from almondspindle.controllers.claims.settlement import SettlementController
from almondspindle.core.calls import (
    Call,
    CallerDisconnected,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResponseSink,
)
from almondspindle.core.claims import CommitOutcome, SettleRequest
from almondspindle.core.identifiers import HostName
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.recorded_responses import RecordedResponse
from almondspindle.decisions.claims import response_bytes
from almondspindle.decisions.retry import Stage, stage_of

MAX_RECORDED_BYTES = 4096

# An incomplete response counts as no response.
OUTCOME_BY_STAGE: dict[Stage, CommitOutcome] = {
    Stage.NOT_SENT: CommitOutcome.NOT_SENT,
    Stage.MAYBE_SENT: CommitOutcome.NO_RESPONSE,
    Stage.RESPONDING: CommitOutcome.NO_RESPONSE,
}


@dataclass(slots=True)
class RecordingSink:
    """Forward a response, and keep a copy of it while it is small.

    If the caller disconnects, the response is still read to its end, for the record.
    """

    sink: ResponseSink
    head: ResponseHead | None = None
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    is_caller_disconnected: bool = False

    async def write(self, part: ResponsePart) -> None:
        """Record `part` and forward it."""
        self._record(part)
        if self.is_caller_disconnected:
            return
        try:
            await self.sink.write(part)
        except CallerDisconnected:
            self.is_caller_disconnected = True

    def recorded_response(self) -> RecordedResponse | None:
        """Return the response to record, or None if it is incomplete.

        Headers and body are left out if the response exceeds `MAX_RECORDED_BYTES`.
        """
        if self.head is None or not self.is_complete:
            return None
        recorded = RecordedResponse(
            self.head.status, self.head.target, self.head.headers, bytes(self.body)
        )
        if response_bytes(recorded) > MAX_RECORDED_BYTES:
            return RecordedResponse(self.head.status, self.head.target)
        return recorded

    @singledispatchmethod
    def _record(self, part: object) -> None:
        raise InvariantError(f"unexpected response part {type(part).__name__}")

    @_record.register
    def _(self, part: ResponseHead) -> None:
        self.head = part

    @_record.register
    def _(self, part: ResponseChunk) -> None:
        if len(self.body) <= MAX_RECORDED_BYTES:
            self.body += part.data

    @_record.register
    def _(self, part: ResponseEnd) -> None:
        self.is_complete = True


class SettleClaim:
    """The terminal of the entry's chain: run the inner chain, and settle the call's claim, if any.

    The inner chain ranks the targets and relays the call.
    """

    def __init__(self, inner: Chain, settlements: SettlementController, holder: HostName) -> None:
        self._inner = inner
        self._settlements = settlements
        self._holder = holder
        self._tasks: set[asyncio.Task[Completion]] = set()

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Run the inner chain and return how the call ended.

        A claimed commit continues if the caller disconnects, so that a retry finds its response.
        """
        if call.claim_nonce is None:
            return await self._inner.run(call, sink)
        recording = RecordingSink(sink)
        task = asyncio.ensure_future(self._run_claimed(call, recording))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller's connection may be closed once this method returns, so the task must not
            # write to it any more.
            recording.is_caller_disconnected = True
            raise

    async def _run_claimed(self, call: Call, sink: RecordingSink) -> Completion:
        outcome = CommitOutcome.NO_RESPONSE
        try:
            completion = await self._inner.run(call, sink)
            outcome = _outcome_of(completion)
            return completion
        finally:
            request = SettleRequest(
                commit_attempt_of(call, self._holder), outcome, sink.recorded_response()
            )
            self._settlements.send(PendingSettlement(request))

    async def wait_idle(self) -> None:
        """Wait until no claimed commit is in flight, including those of disconnected callers."""
        while self._tasks:
            await asyncio.wait(self._tasks)


def _outcome_of(completion: Completion) -> CommitOutcome:
    if completion.refusal is None:
        return CommitOutcome.ANSWERED
    return OUTCOME_BY_STAGE[stage_of(completion)]
