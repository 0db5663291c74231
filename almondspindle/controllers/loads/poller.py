"""The task that polls the load of one target."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from almondspindle.controllers.admission.messages import LoadPollFailed, LoadReported
from almondspindle.core.clock import Clock
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import Result
from almondspindle.core.roster import Target
from almondspindle.decisions.jitter import jittered_interval

MIN_POLL_GAP_S = 0.1  # between two polls of one target
MAX_WAIT_AFTER_FAILURE_S = 1.0  # longest wait after a poll that was not answered


class LoadReportClient(Protocol):
    """The way to the load reports of targets."""

    async def read(self, address: str) -> Result[LoadReport, str]:
        """Return the report of the target at `address`, or why there is none."""
        ...


LoadListener = Callable[[LoadReported | LoadPollFailed], None]


class TargetPoller:
    """Poll one target at an interval, and at once when asked."""

    def __init__(
        self,
        target: Target,
        link: LoadReportClient,
        clock: Clock,
        interval_s: float,
        listener: LoadListener,
    ) -> None:
        self.target = target
        self._client = link
        self._clock = clock
        self._interval_s = interval_s
        self._listener = listener
        self._poll_requested = asyncio.Event()

    def poll_soon(self) -> None:
        """Poll before the next turn, though not sooner than `SHORTEST_GAP_S` after the last."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._poll_requested.clear()
            missed = await self._poll()
            await asyncio.sleep(MIN_POLL_GAP_S)
            interval_s = (
                min(self._interval_s, MAX_WAIT_AFTER_FAILURE_S) if missed else self._interval_s
            )
            wait_s = jittered_interval(interval_s, random.random()) - MIN_POLL_GAP_S
            with suppress(TimeoutError):
                await asyncio.wait_for(self._poll_requested.wait(), max(0.0, wait_s))

    async def _poll(self) -> bool:
        """Tell the listener of one poll and return whether it was missed."""
        asked_at = self._clock.monotonic()
        found = await self._client.read(self.target.address)
        if found.is_error():
            self._listener(LoadPollFailed(self.target.name))
        else:
            self._listener(LoadReported(self.target.name, found.ok, asked_at))
        return found.is_error()
