"""Push an entry's tallies to a router at a fixed interval."""

import asyncio
from typing import Protocol

from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.controllers.telemetry.messages import RestoreTallies, TakeTallies
from almondspindle.decisions.rolling_windows import Tallies

PUSH_INTERVAL_S = 5.0


class TallyClient(Protocol):
    """Client for a router's telemetry."""

    async def push(self, tallies: Tallies) -> bool:
        """Send `tallies` to a router and return whether it confirmed them."""
        ...


class TallyPusher:
    """Push the collector's tallies to a router at each interval.

    Tallies that no router confirmed are pushed again with the next ones. If only the response was
    lost, they count twice. The error is one interval (5 s) of one host's requests, or more if
    earlier pushes failed, too.
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
        """Push the collected tallies, if there are any."""
        tallies = await self._collector.request(TakeTallies())
        if tallies and not await self._client.push(tallies):
            self._collector.send(RestoreTallies(tallies))
