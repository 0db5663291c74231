"""Hand an entry's sums to a router at a fixed interval."""

import asyncio
from typing import Protocol

from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.controllers.telemetry.messages import RestoreTallies, TakeTallies
from almondspindle.decisions.rolling_windows import Tallies

PUSH_INTERVAL_S = 5.0


class TallyClient(Protocol):
    """The way to a router's telemetry."""

    async def push(self, tallies: Tallies) -> bool:
        """Hand `tallies` to a router and return whether it has them."""
        ...


class TallyPusher:
    """Push until cancelled. Sums that no router took stay for the next push.

    A push whose answer was lost may be counted twice; that errs by 5 s of one host's figures.
    """

    def __init__(
        self,
        collector: CollectorController,
        client: TallyClient,
        interval_s: float = PUSH_INTERVAL_S,
    ) -> None:
        self._collector = collector
        self._client = client
        self._interval_s = interval_s

    async def run(self) -> None:
        """Push at each interval until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            await self.push_once()

    async def push_once(self) -> None:
        """Push what has been collected, if anything."""
        tallies = await self._collector.request(TakeTallies())
        if tallies and not await self._client.push(tallies):
            self._collector.send(RestoreTallies(tallies))
