"""Read the platform's lagging list of hosts and targets."""

import asyncio
from collections.abc import Callable

from almondspindle.adapters.platform.base import Platform
from almondspindle.core.events import STORE_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.roster import Roster


class RosterReader:
    """Read the list at a fixed interval and pass each reading to the listener."""

    def __init__(
        self, platform: Platform, interval_s: float, listener: Callable[[Roster], None]
    ) -> None:
        self._platform = platform
        self._interval_s = interval_s
        self._listener = listener

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            found = await self._platform.roster()
            if found.is_error():
                emit(STORE_FAILED, call="roster", reason=found.error.message)
            else:
                self._listener(found.ok)
            await asyncio.sleep(self._interval_s)
