"""The tasks that read the platform's store for the view."""

import asyncio
import random
from typing import Protocol

from almondspindle.adapters.platform.base import StoreError
from almondspindle.controllers.exchange.messages import IsTopicWatcher
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ExpireRetainedRecords,
    GetRevisions,
    SnapshotReceived,
    StoreCallFailed,
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
MIN_WATCH_S = 3.0
MAX_WATCH_S = 10.0
ROLE_CHECK_INTERVAL_S = 0.5  # a host that stops to follow is replaced within this time
RETRY_BASE_S = 0.1
RETRY_CAP_S = 0.5  # within the bound of two seconds for a new configuration
RETENTION_CHECK_INTERVAL_S = 0.25
DELAY_BEFORE_REREAD_S = 0.05
DELAY_AFTER_CHANGES_S = (
    0.1  # of the two seconds for a change; changes that come in a row cost one call
)


class StoreClient(Protocol):
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


class TopicWatcher:
    """Keep one topic of the view up to date."""

    def __init__(
        self,
        topic: Topic,
        store: StoreClient,
        view: ViewController,
        exchange: ExchangeController,
    ) -> None:
        self._topic = topic
        self._store = store
        self._view = view
        self._exchange = exchange
        self._failures = 0

    async def run(self) -> None:
        """Read the topic, then follow its changes, until cancelled."""
        while True:
            await self._read_topic()
            # Hosts that start together know after this time which of them follow the topic.
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            while await self._watch_once():
                pass

    async def _read_topic(self) -> None:
        while True:
            found = await self._store.read(self._topic)
            if found.is_ok():
                self._failures = 0
                self._view.send(SnapshotReceived(found.ok, STORE_SOURCE))
                return
            await self._back_off(found.error)

    async def _watch_once(self) -> bool:
        """Wait for the next changes, if this host follows the topic.

        Return False when the store's history no longer covers what is known.
        """
        if not await self._exchange.request(IsTopicWatcher(self._topic)):
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            return True
        revisions = await self._view.request(GetRevisions())
        wait_s = random.uniform(MIN_WATCH_S, MAX_WATCH_S)
        found = await self._store.watch(self._topic, revisions[self._topic].current, wait_s)
        if found.is_error():
            await self._back_off(found.error)
            return True
        self._failures = 0
        if isinstance(found.ok, HistoryUnavailable):
            await asyncio.sleep(DELAY_BEFORE_REREAD_S)
            return False
        self._view.send(ChangesReceived(found.ok))
        if found.ok.changes:
            await asyncio.sleep(DELAY_AFTER_CHANGES_S)
        return True

    async def _back_off(self, error: StoreError) -> None:
        self._failures += 1
        self._view.send(StoreCallFailed(self._topic, error.message))
        wait_s = full_jitter(self._failures, RETRY_BASE_S, RETRY_CAP_S, random.random())
        await asyncio.sleep(max(RETRY_BASE_S, wait_s))


class Announcer:
    """Make this host known in the store."""

    def __init__(self, record: HostRecord, store: StoreClient) -> None:
        self._record = record
        self._store = store

    async def run(self) -> None:
        """Write the host's record, trying again until the store has taken it."""
        failures = 0
        while (await self._store.announce(self._record)).is_error():
            failures += 1
            await asyncio.sleep(full_jitter(failures, RETRY_BASE_S, RETRY_CAP_S, random.random()))


class RetentionTimer:
    """Have the view look at lapsed records now and then."""

    def __init__(self, view: ViewController) -> None:
        self._view = view

    async def run(self) -> None:
        """Send `LapseDue` every `LAPSE_CHECK_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(RETENTION_CHECK_INTERVAL_S)
            self._view.send(ExpireRetainedRecords())
