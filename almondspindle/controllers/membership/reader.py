"""Read the platform's list of hosts and targets when the membership controller requests it.

The list lags behind the actual state.
"""

import asyncio

from almondspindle.adapters.platform.base import Platform
from almondspindle.controllers.membership.messages import PlatformListRead, ShouldReadList
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.clock import Clock
from almondspindle.core.events import STORE_FAILED
from almondspindle.core.logs import emit


class ListReader:
    """Query the controller periodically whether to read the list, and send it what was read."""

    def __init__(
        self,
        platform: Platform,
        controller: MembershipController,
        interval_s: float,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._controller = controller
        self._interval_s = interval_s
        self._clock = clock

    async def run(self) -> None:
        """Read the list at each interval for which the controller requests it, until cancelled."""
        while True:
            if await self._controller.request(ShouldReadList()):
                await self._read()
            await asyncio.sleep(self._interval_s)

    async def _read(self) -> None:
        requested_at = self._clock.monotonic()
        found = await self._platform.roster()
        if found.is_error():
            emit(STORE_FAILED, call="roster", reason=found.error.message)
            return
        self._controller.send(PlatformListRead(found.ok, requested_at))
