"""Report the outcomes of attempts to the hosts that write claims, with retries.

An outcome is dropped after `MAX_FAILURES` failed calls, or if too many others are pending.
"""

import asyncio
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Protocol

from almondspindle.controllers.base import Controller
from almondspindle.controllers.claims.messages import PendingSettlement, SettlementResult
from almondspindle.core.claims import ClaimDecision, ClaimReply, SettleRequest
from almondspindle.core.clock import Clock
from almondspindle.core.events import CLAIM_UNSETTLED
from almondspindle.core.logs import emit
from almondspindle.decisions.jitter import doubled
from almondspindle.utils.in_flight import InFlightCounter
from almondspindle.utils.tasks import TaskSet

MAX_FAILURES = 120  # failed calls after which an outcome is dropped
MAX_PENDING_SETTLEMENTS = 10_000  # further outcomes are dropped
BACKOFF_BASE_S = 0.1  # the n-th retry waits 2**n times this, up to MAX_BACKOFF_S
MAX_BACKOFF_S = 5.0


class SettlementClient(Protocol):
    """Client for the hosts that write claims."""

    async def settle(self, settle: SettleRequest) -> ClaimReply:
        """Send `settle`; the decision is UNAVAILABLE if it may not have been recorded."""
        ...


class SettlementController(Controller):
    """Own the outcomes that are not recorded yet. `queue` feeds them to the sender."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.queue: asyncio.Queue[PendingSettlement] = asyncio.Queue()
        self._in_flight = InFlightCounter()

    async def wait_idle(self, timeout_s: float) -> int:
        """Wait until all outcomes are recorded or dropped, or for `timeout_s` seconds.

        Return the number of outcomes that are still to be recorded.
        """
        return await self._in_flight.wait_idle(timeout_s)

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: PendingSettlement, now: float) -> None:
        if self._in_flight.count >= MAX_PENDING_SETTLEMENTS:
            _give_up(msg)
            return
        self._in_flight.enter()
        self.queue.put_nowait(msg)

    @handle.register
    def _(self, msg: SettlementResult, now: float) -> None:
        failures = msg.pending.failures + 1
        if not msg.is_recorded and failures < MAX_FAILURES:
            self.queue.put_nowait(replace(msg.pending, failures=failures))
            return
        self._in_flight.leave()
        if not msg.is_recorded:
            _give_up(msg.pending)


class SettlementSender:
    """Send outcomes to the hosts that write claims, each one in its own task."""

    def __init__(self, client: SettlementClient, controller: SettlementController) -> None:
        self._client = client
        self._controller = controller
        self._tasks = TaskSet()

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                pending = await self._controller.queue.get()
                self._tasks.start("settle", self._send(pending))
        finally:
            await self._tasks.cancel_all()

    async def _send(self, pending: PendingSettlement) -> None:
        if pending.failures:
            await asyncio.sleep(doubled(BACKOFF_BASE_S, pending.failures, MAX_BACKOFF_S))
        reply = await self._client.settle(pending.request)
        is_recorded = reply.decision is not ClaimDecision.UNAVAILABLE
        self._controller.send(SettlementResult(pending, is_recorded))


def _give_up(pending: PendingSettlement) -> None:
    attempt = pending.request.attempt
    emit(
        CLAIM_UNSETTLED,
        team=attempt.scope.team,
        service=attempt.scope.service,
        key=attempt.scope.key,
        ending=pending.request.ending,
    )
