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
from almondspindle.decisions.jitter import spread_interval

SHORTEST_GAP_S = 0.1  # between two polls of one target


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
            self._listener(await self._poll())
            await asyncio.sleep(SHORTEST_GAP_S)
            wait_s = spread_interval(self._interval_s, random.random()) - SHORTEST_GAP_S
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wanted.wait(), max(0.0, wait_s))

    async def _poll(self) -> LoadHeard | LoadMissed:
        asked_at = self._clock.monotonic()
        found = await self._link.read(self.target.address)
        if found.is_error():
            return LoadMissed(self.target.name)
        return LoadHeard(self.target.name, found.ok, asked_at)
