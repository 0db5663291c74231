"""Count the requests in flight and wait until there are none."""

import asyncio


class InFlightCounter:
    """A counter whose return to zero can be awaited."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def enter(self) -> None:
        """Count a request that starts."""
        self._count += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count a request that has ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> int:
        """Wait up to `timeout_s` seconds until nothing is in flight, and return the count."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return self._count
        return 0
