"""The task that polls the load report of one target."""

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

MIN_POLL_GAP_S = 0.1  # minimum pause between two polls of a target
MAX_WAIT_AFTER_FAILURE_S = 1.0  # maximum interval to the next poll after a failed one


class LoadReportClient(Protocol):
    """Client that reads the load reports of targets."""

    async def read(self, address: str) -> Result[LoadReport, str]:
        """Return the report of the target at `address` ("ip:port"), or an error message."""
        ...


LoadListener = Callable[[LoadReported | LoadPollFailed], None]


class TargetPoller:
    """Poll one target at an interval, and sooner on request.

    The interval is in seconds. A failed poll shortens it to `MAX_WAIT_AFTER_FAILURE_S` at most.
    """

    def __init__(
        self,
        target: Target,
        client: LoadReportClient,
        clock: Clock,
        interval_s: float,
        listener: LoadListener,
    ) -> None:
        self.target = target
        self._client = client
        self._clock = clock
        self._interval_s = interval_s
        self._listener = listener
        self._poll_requested = asyncio.Event()

    def poll_soon(self) -> None:
        """Poll as soon as `MIN_POLL_GAP_S` has passed since the last poll."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._poll_requested.clear()
            failed = await self._poll()
            await asyncio.sleep(MIN_POLL_GAP_S)
            interval_s = (
                min(self._interval_s, MAX_WAIT_AFTER_FAILURE_S) if failed else self._interval_s
            )
            wait_s = jittered_interval(interval_s, random.random()) - MIN_POLL_GAP_S
            with suppress(TimeoutError):
                await asyncio.wait_for(self._poll_requested.wait(), max(0.0, wait_s))

    async def _poll(self) -> bool:
        """Poll once, pass the result to the listener, and return whether the poll failed."""
        sent_at = self._clock.monotonic()
        found = await self._client.read(self.target.address)
        if found.is_error():
            self._listener(LoadPollFailed(self.target.name))
        else:
            self._listener(LoadReported(self.target.name, found.ok, sent_at))
        return found.is_error()
