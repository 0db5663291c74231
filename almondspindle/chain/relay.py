"""Relay a call to the owner of its best candidate, then to the next ones while that is safe."""

from typing import Protocol

from almondspindle.core.calls import AnswerSink, Call, Candidate, Finished
from almondspindle.core.clock import Clock
from almondspindle.core.events import ATTEMPT_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import RETRIES, MetricSender
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.retry import NextStep, next_step


class OwnerLink(Protocol):
    """The way to the owners of targets."""

    async def relay(self, call: Call, candidate: Candidate, sink: AnswerSink) -> Finished:
        """Have the candidate's owner answer `call` into `sink`; return how that ended."""
        ...


class RelayToOwner:
    """The entry's terminal: try candidates in order, as the retry decisions allow."""

    def __init__(self, owners: OwnerLink, clock: Clock, metrics: MetricSender) -> None:
        self._owners = owners
        self._clock = clock
        self._metrics = metrics

    async def finish(self, call: Call, sink: AnswerSink, now: float) -> Finished:
        """Return how the last attempt ended; a whole answer ends the tries."""
        assert call.work is not None
        last: Finished | None = None
        for attempt, candidate in enumerate(call.candidates):
            if attempt > 0:
                self._metrics.count(RETRIES)
            if self._clock.monotonic() >= call.deadline_at:
                return Finished(False, _deadline_refusal(last))
            last = await self._owners.relay(call, candidate, sink)
            if last.refusal is None:
                return last
            _log_attempt(call, candidate, last.refusal)
            if next_step(call.work, last) is NextStep.GIVE_UP:
                return last
        if last is None:
            raise InvariantError("a ranked call has no candidate")
        return last


def _deadline_refusal(last: Finished | None) -> Refusal:
    reason = last.refusal.message if last and last.refusal else "no attempt was made"
    state = last.refusal.run_state if last and last.refusal else RunState.NOT_RUN
    return Refusal(RefusalCode.DEADLINE_EXCEEDED, f"the deadline passed; {reason}", state)


def _log_attempt(call: Call, candidate: Candidate, refusal: Refusal) -> None:
    emit(
        ATTEMPT_FAILED,
        request_id=call.request_id,
        target=candidate.target,
        owner=candidate.owner,
        code=refusal.code,
        reason=refusal.message,
        run_state=refusal.run_state,
    )
