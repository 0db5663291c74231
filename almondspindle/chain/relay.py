"""Relay a call to the owner of its best candidate, then to the others while that is safe."""

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
    MAX_TARGETS_LOST,
    RETRY_BASE_S,
    RETRY_CAP_S,
    ROUND_BASE_S,
    ROUND_CAP_S,
    NextStep,
    Stage,
    is_target_lost,
    next_step,
    should_start_round,
    stage_of,
)


class OwnerClient(Protocol):
    """Client for the hosts that own targets."""

    async def relay(self, call: Call, candidate: Candidate, sink: ResponseSink) -> Completion:
        """Relay `call` to the candidate's owner; write the response into `sink`."""
        ...


@dataclass(slots=True)
class _RelayState:
    """The state of the attempts at one call. No attempt follows once `result` is set.

    `round_codes` holds the refusal codes of the current round over the candidates. `maybe_sent`
    is set if an attempt may have reached its target. `targets_lost` counts the attempts in which
    the target closed its connection without a response.
    """

    last: Completion | None = None
    result: Completion | None = None
    retries: int = 0
    maybe_sent: bool = False
    targets_lost: int = 0
    round_codes: set[RefusalCode] = field(default_factory=set)


class RelayToOwner:
    """The entry's terminal: try the candidates in order, as decisions.retry allows."""

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
        """Return how the last attempt ended, or a refusal if the deadline passed before another.

        A complete response ends the attempts.
        """
        assert call.work is not None and call.service is not None
        self._retries.send(RequestStarted(call.service))
        state = _RelayState()
        rounds = 0
        while state.result is None:
            call = call.copy_with(others_declined=RefusalCode.STARTING in state.round_codes)
            state.round_codes.clear()
            await self._run_round(call, sink, state)
            rounds += 1
            if state.result is None and not should_start_round(state.round_codes, rounds):
                break
            if state.result is None:
                await self._back_off(call, rounds, ROUND_BASE_S, ROUND_CAP_S)
        completion = state.result or state.last
        if completion is None:
            raise InvariantError("a ranked call has no candidate")
        return _with_retry_after(_with_run_state(completion, state))

    async def _run_round(self, call: Call, sink: ResponseSink, state: _RelayState) -> None:
        for candidate in call.candidates:
            if self._clock.monotonic() >= call.deadline_at:
                state.result = Completion(False, _deadline_refusal(state.last))
                return
            state.last = await self._owners.relay(call, candidate, sink)
            if state.last.refusal is None:
                state.result = state.last
                return
            log_failed_attempt(call, candidate, state.last.refusal)
            state.round_codes.add(state.last.refusal.code)
            if not await self._should_continue(call, state, candidate is call.candidates[-1]):
                state.result = state.last
                return

    async def _should_continue(self, call: Call, state: _RelayState, is_last: bool) -> bool:
        """Return whether to try the next candidate, after the wait that a retry requires."""
        assert call.work is not None and call.service is not None and state.last is not None
        step = next_step(call.work, state.last)
        if stage_of(state.last) is not Stage.NOT_SENT:
            state.maybe_sent = True
        state.targets_lost += is_target_lost(state.last)
        if state.targets_lost >= MAX_TARGETS_LOST:
            return False
        if step is NextStep.GIVE_UP:
            return False
        if step is NextStep.REDIRECT:
            self._metrics.count(REDIRECTS)
            return True
        if is_last or not await self._retries.request(SpendRetry(call.service)):
            return False
        self._metrics.count(RETRIES)
        state.retries += 1
        await self._back_off(call, state.retries, RETRY_BASE_S, RETRY_CAP_S)
        return True

    async def _back_off(self, call: Call, attempt: int, base_s: float, cap_s: float) -> None:
        left_s = call.deadline_at - self._clock.monotonic()
        wait_s = full_jitter(attempt, base_s, cap_s, self._random_fraction())
        await asyncio.sleep(max(0.0, min(left_s, wait_s)))


def _with_run_state(completion: Completion, state: _RelayState) -> Completion:
    """Return `completion`, with UNKNOWN in place of NOT_RUN if any attempt may have run."""
    refusal = completion.refusal
    if refusal is None or not state.maybe_sent or refusal.run_state is not RunState.NOT_RUN:
        return completion
    return replace(completion, refusal=replace(refusal, run_state=RunState.UNKNOWN))


def _with_retry_after(completion: Completion) -> Completion:
    refusal = completion.refusal
    if refusal is None or refusal.code is not RefusalCode.FULL:
        return completion
    if refusal.retry_after_s is not None:
        return completion
    return replace(completion, refusal=replace(refusal, retry_after_s=FULL_RETRY_AFTER_S))


def _deadline_refusal(last: Completion | None) -> Refusal:
    reason = last.refusal.message if last and last.refusal else "no attempt was made"
    run_state = last.refusal.run_state if last and last.refusal else RunState.NOT_RUN
    return Refusal(RefusalCode.DEADLINE_EXCEEDED, f"the deadline passed; {reason}", run_state)


def log_failed_attempt(call: Call, candidate: Candidate, refusal: Refusal) -> None:
    """Log the refusal that ended an attempt at `call` through the candidate's owner."""
    emit(
        ATTEMPT_FAILED,
        request_id=call.request_id,
        target=candidate.target,
        owner=candidate.owner,
        code=refusal.code,
        reason=refusal.message,
        run_state=refusal.run_state,
    )
