"""The task that polls the load of one target."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from almondspindle.controllers.admission.messages import LoadHeard, LoadMissed
from almondspindle.core.clock import Clock
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import Result
from almondspindle.core.roster import Target
from almondspindle.decisions.jitter import jittered_interval

SHORTEST_GAP_S = 0.1  # between two polls of one target
AFTER_MISS_S = 1.0  # longest wait after a poll that was not answered


class LoadLink(Protocol):
    """The way to the load reports of targets."""

    async def read(self, address: str) -> Result[LoadReport, str]:
        """Return the report of the target at `address`, or why there is none."""
        ...


LoadListener = Callable[[LoadHeard | LoadMissed], None]


class TargetPoller:
    """Poll one target at an interval, and at once when asked."""

    def __init__(
        self,
        target: Target,
        link: LoadLink,
        clock: Clock,
        interval_s: float,
        listener: LoadListener,
    ) -> None:
        self.target = target
        self._link = link
        self._clock = clock
        self._interval_s = interval_s
        self._listener = listener
        self._wanted = asyncio.Event()

    def poll_soon(self) -> None:
        """Poll before the next turn, though not sooner than `SHORTEST_GAP_S` after the last."""
        self._wanted.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._wanted.clear()
            missed = await self._poll()
            await asyncio.sleep(SHORTEST_GAP_S)
            interval_s = min(self._interval_s, AFTER_MISS_S) if missed else self._interval_s
            wait_s = jittered_interval(interval_s, random.random()) - SHORTEST_GAP_S
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wanted.wait(), max(0.0, wait_s))

    async def _poll(self) -> bool:
        """Tell the listener of one poll and return whether it was missed."""
        asked_at = self._clock.monotonic()
        found = await self._link.read(self.target.address)
        if found.is_error():
            self._listener(LoadMissed(self.target.name))
        else:
            self._listener(LoadHeard(self.target.name, found.ok, asked_at))
        return found.is_error()
