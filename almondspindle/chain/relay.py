"""Relay a call to the owner of its best candidate, then to the next ones while that is safe."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from almondspindle.controllers.retries.messages import RequestStarted, SpendRetry
from almondspindle.controllers.retries.task import RetriesController
from almondspindle.core.calls import Call, Candidate, Completion, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.events import ATTEMPT_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import REDIRECTS, RETRIES, MetricSender
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.jitter import full_jitter
from almondspindle.decisions.retry import (
    FULL_RETRY_AFTER_S,
    RETRY_BASE_S,
    RETRY_CAP_S,
    ROUND_BASE_S,
    ROUND_CAP_S,
    NextStep,
    Stage,
    next_step,
    should_start_round,
    stage_of,
)


class OwnerClient(Protocol):
    """The way to the owners of targets."""

    async def relay(self, call: Call, candidate: Candidate, sink: ResponseSink) -> Completion:
        """Have the candidate's owner answer `call` into `sink`; return how that ended."""
        ...


@dataclass(slots=True)
class _RelayState:
    """What the attempts at one call have come to. `final` ends them."""

    last: Completion | None = None
    result: Completion | None = None
    retries: int = 0
    maybe_sent: bool = False
    round_codes: set[RefusalCode] = field(default_factory=set)


class RelayToOwner:
    """The entry's terminal: try candidates in order, as the retry decisions allow."""

    def __init__(
        self,
        owners: OwnerClient,
        retries: RetriesController,
        clock: Clock,
        metrics: MetricSender,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._owners = owners
        self._retries = retries
        self._clock = clock
        self._metrics = metrics
        self._random_fraction = random_fraction

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Return how the last attempt ended; a whole answer ends the tries."""
        assert call.work is not None and call.service is not None
        self._retries.send(RequestStarted(call.service))
        tries = _RelayState()
        rounds = 0
        while tries.result is None:
            call = call.copy_with(others_declined=RefusalCode.STARTING in tries.round_codes)
            tries.round_codes.clear()
            await self._run_round(call, sink, tries)
            rounds += 1
            if tries.result is None and not should_start_round(tries.round_codes, rounds):
                break
            if tries.result is None:
                await self._back_off(call, rounds, ROUND_BASE_S, ROUND_CAP_S)
        ended = tries.result or tries.last
        if ended is None:
            raise InvariantError("a ranked call has no candidate")
        return _with_retry_after(_with_run_state(ended, tries))

    async def _run_round(self, call: Call, sink: ResponseSink, tries: _RelayState) -> None:
        for candidate in call.candidates:
            if self._clock.monotonic() >= call.deadline_at:
                tries.result = Completion(False, _deadline_refusal(tries.last))
                return
            tries.last = await self._owners.relay(call, candidate, sink)
            if tries.last.refusal is None:
                tries.result = tries.last
                return
            log_failed_attempt(call, candidate, tries.last.refusal)
            tries.round_codes.add(tries.last.refusal.code)
            if not await self._should_continue(call, tries, candidate is call.candidates[-1]):
                tries.result = tries.last
                return

    async def _should_continue(self, call: Call, tries: _RelayState, is_last: bool) -> bool:
        assert call.work is not None and call.service is not None and tries.last is not None
        step = next_step(call.work, tries.last)
        if stage_of(tries.last) is not Stage.NOT_SENT:
            tries.maybe_sent = True
        if step is NextStep.GIVE_UP:
            return False
        if step is NextStep.REDIRECT:
            self._metrics.count(REDIRECTS)
            return True
        if is_last or not await self._retries.request(SpendRetry(call.service)):
            return False
        self._metrics.count(RETRIES)
        tries.retries += 1
        await self._back_off(call, tries.retries, RETRY_BASE_S, RETRY_CAP_S)
        return True

    async def _back_off(self, call: Call, attempt: int, base_s: float, cap_s: float) -> None:
        left_s = call.deadline_at - self._clock.monotonic()
        wait_s = full_jitter(attempt, base_s, cap_s, self._random_fraction())
        await asyncio.sleep(max(0.0, min(left_s, wait_s)))


def _with_run_state(ended: Completion, tries: _RelayState) -> Completion:
    """Return `ended` without the claim "not run" when an earlier attempt may have run."""
    refusal = ended.refusal
    if refusal is None or not tries.maybe_sent or refusal.run_state is not RunState.NOT_RUN:
        return ended
    return replace(ended, refusal=replace(refusal, run_state=RunState.UNKNOWN))


def _with_retry_after(ended: Completion) -> Completion:
    refusal = ended.refusal
    if refusal is None or refusal.code is not RefusalCode.FULL:
        return ended
    if refusal.retry_after_s is not None:
        return ended
    return replace(ended, refusal=replace(refusal, retry_after_s=FULL_RETRY_AFTER_S))


def _deadline_refusal(last: Completion | None) -> Refusal:
    reason = last.refusal.message if last and last.refusal else "no attempt was made"
    state = last.refusal.run_state if last and last.refusal else RunState.NOT_RUN
    return Refusal(RefusalCode.DEADLINE_EXCEEDED, f"the deadline passed; {reason}", state)


def log_failed_attempt(call: Call, candidate: Candidate, refusal: Refusal) -> None:
    """Log that an attempt at `call` through the candidate's owner ended with `refusal`."""
    emit(
        ATTEMPT_FAILED,
        request_id=call.request_id,
        target=candidate.target,
        owner=candidate.owner,
        code=refusal.code,
        reason=refusal.message,
        run_state=refusal.run_state,
    )
