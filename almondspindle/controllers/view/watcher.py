"""The tasks that read the platform's store for the view."""

import asyncio
import random
from typing import Protocol

from almondspindle.adapters.platform.base import StoreError
from almondspindle.controllers.exchange.messages import Follows
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.view.messages import (
    ChangesRead,
    GetRevisions,
    LapseDue,
    SnapshotRead,
    StoreFailed,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.inventory import (
    HistoryUnavailable,
    HostRecord,
    Snapshot,
    Topic,
    TopicChanges,
)
from almondspindle.core.outcomes import Result
from almondspindle.decisions.jitter import full_jitter

# Bounds of a watch's wait. Waits differ, so that of several silent connections one is found soon;
# what that host learns anew reaches the others in their reports.
WATCH_MIN_S = 3.0
WATCH_MAX_S = 10.0
ROLE_CHECK_S = 0.5  # a host that stops to follow is replaced within this time
RETRY_BASE_S = 0.1
RETRY_CAP_S = 0.5  # within the bound of two seconds for a new configuration
LAPSE_CHECK_S = 0.25
HISTORY_PAUSE_S = 0.05
CHANGES_PAUSE_S = 0.1  # of the two seconds for a change; changes that come in a row cost one call


class Inventory(Protocol):
    """The calls to the store that the tasks need."""

    async def read(self, topic: Topic) -> Result[Snapshot, StoreError]:
        """Return all records of `topic`."""
        ...

    async def watch(
        self, topic: Topic, after: int, wait_s: float
    ) -> Result[TopicChanges | HistoryUnavailable, StoreError]:
        """Return the changes of `topic` after revision `after`, waiting up to `wait_s`."""
        ...

    async def announce(self, record: HostRecord) -> Result[None, StoreError]:
        """Make `record` known to the other hosts."""
        ...


class Watcher:
    """Keep one topic of the view up to date."""

    def __init__(
        self,
        topic: Topic,
        inventory: Inventory,
        view: ViewController,
        exchange: ExchangeController,
    ) -> None:
        self._topic = topic
        self._inventory = inventory
        self._view = view
        self._exchange = exchange
        self._failures = 0

    async def run(self) -> None:
        """Read the topic, then follow its changes, until cancelled."""
        while True:
            await self._read()
            # Hosts that start together know after this time which of them follow the topic.
            await asyncio.sleep(ROLE_CHECK_S)
            while await self._follow():
                pass

    async def _read(self) -> None:
        while True:
            found = await self._inventory.read(self._topic)
            if found.is_ok():
                self._failures = 0
                self._view.send(SnapshotRead(found.ok, STORE_SOURCE))
                return
            await self._pause(found.error)

    async def _follow(self) -> bool:
        """Wait for the next changes, if this host follows the topic.

        Return False when the store's history no longer covers what is known.
        """
        if not await self._exchange.request(Follows(self._topic)):
            await asyncio.sleep(ROLE_CHECK_S)
            return True
        revisions = await self._view.request(GetRevisions())
        wait_s = random.uniform(WATCH_MIN_S, WATCH_MAX_S)
        found = await self._inventory.watch(self._topic, revisions[self._topic].known, wait_s)
        if found.is_error():
            await self._pause(found.error)
            return True
        self._failures = 0
        if isinstance(found.ok, HistoryUnavailable):
            await asyncio.sleep(HISTORY_PAUSE_S)
            return False
        self._view.send(ChangesRead(found.ok))
        if found.ok.changes:
            await asyncio.sleep(CHANGES_PAUSE_S)
        return True

    async def _pause(self, error: StoreError) -> None:
        self._failures += 1
        self._view.send(StoreFailed(self._topic, error.message))
        wait_s = full_jitter(self._failures, RETRY_BASE_S, RETRY_CAP_S, random.random())
        await asyncio.sleep(max(RETRY_BASE_S, wait_s))


class Announcer:
    """Make this host known in the store."""

    def __init__(self, record: HostRecord, inventory: Inventory) -> None:
        self._record = record
        self._inventory = inventory

    async def run(self) -> None:
        """Write the host's record, trying again until the store has taken it."""
        failures = 0
        while (await self._inventory.announce(self._record)).is_error():
            failures += 1
            await asyncio.sleep(full_jitter(failures, RETRY_BASE_S, RETRY_CAP_S, random.random()))


class LapseTimer:
    """Have the view look at lapsed records now and then."""

    def __init__(self, view: ViewController) -> None:
        self._view = view

    async def run(self) -> None:
        """Send `LapseDue` every `LAPSE_CHECK_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            self._view.send(LapseDue())
