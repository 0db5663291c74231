"""The task that keeps this host's record in the platform's store."""

import asyncio
import random
from dataclasses import replace

from almondspindle.controllers.view.messages import (
    ANNOUNCEMENT,
    AnnouncementFailed,
    GetListing,
    StoreCallReleased,
)
from almondspindle.controllers.view.task import ViewController
from almondspindle.controllers.view.watcher import StoreClient, StoreTurns
from almondspindle.core.clock import Clock
from almondspindle.core.events import ANNOUNCED_AGAIN
from almondspindle.core.inventory import HostRecord
from almondspindle.core.logs import emit
from almondspindle.decisions.announcing import WrittenRecord, rewrite_at
from almondspindle.decisions.store_probing import retry_delay_s

LISTING_CHECK_INTERVAL_S = 0.25


class Announcer:
    """Write this host's record to the store, and again whenever the store has lost it."""

    def __init__(
        self,
        record: HostRecord,
        store: StoreClient,
        view: ViewController,
        turns: StoreTurns,
        clock: Clock,
    ) -> None:
        self._record = record
        self._store = store
        self._view = view
        self._turns = turns
        self._clock = clock

    async def run(self) -> None:
        """Keep the host's record in the store until cancelled."""
        while True:
            written = WrittenRecord(await self.write(), self._clock.monotonic())
            await self._wait_until_lost(written)
            await self._turns.wait(ANNOUNCEMENT)

    async def write(self) -> int:
        """Write the host's record, with retries until the store has accepted it.

        Return the era of the store that accepted it.
        """
        failures = 0
        while (result := await self._store.announce(self._record)).is_error():
            failures += 1
            self._view.send(AnnouncementFailed())
            await asyncio.sleep(retry_delay_s(failures, random.random()))
            await self._turns.wait(ANNOUNCEMENT)
        self._view.send(StoreCallReleased(ANNOUNCEMENT))
        return result.ok

    async def _wait_until_lost(self, written: WrittenRecord) -> None:
        """Return when the record must be written again."""
        random_number = random.random()
        while True:
            await asyncio.sleep(LISTING_CHECK_INTERVAL_S)
            listing = await self._view.request(GetListing(self._record))
            now = self._clock.monotonic()
            due_at = rewrite_at(written, listing, random_number, now)
            if due_at is None:
                written = replace(written, missing_since=None)
                continue
            if written.missing_since is None:
                written = replace(written, missing_since=now)
            if now >= due_at:
                emit(
                    ANNOUNCED_AGAIN,
                    era=listing.era,
                    written_era=written.era,
                    written_s_ago=round(now - written.at, 3),
                )
                return
