"""The tasks that read the platform's store for the view."""

import asyncio
import math
import random
from typing import Protocol

from almondspindle.adapters.platform.base import StoreError
from almondspindle.controllers.exchange.messages import (
    GetMaxCopyAge,
    GetProbeSharers,
    GetWatchTurn,
)
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ExpireRetainedRecords,
    GetRevisions,
    IsStoreReachable,
    ReserveStoreCall,
    SnapshotReceived,
    StoreCallFailed,
    StoreCallReleased,
)
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.events import COPY_OLD, WATCH_OVERDUE
from almondspindle.core.inventory import (
    HistoryUnavailable,
    HostRecord,
    Revision,
    Snapshot,
    Topic,
    TopicChanges,
)
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Result
from almondspindle.decisions.store_probing import retry_delay_s
from almondspindle.decisions.topic_watchers import watch_wait_s

# A watch that has no response this long after its wait may have an unresponsive connection. The
# store usually responds within 4 ms, but may be some 50 times slower.
OVERDUE_S = 0.3
ROLE_CHECK_INTERVAL_S = 0.5  # a host that stops watching is replaced within this time
PROBE_WATCH_S = 0.05  # a watch that finds out whether the store responds again
RETENTION_CHECK_INTERVAL_S = 0.25
DELAY_BEFORE_REREAD_S = 0.05
# Changes in quick succession are read with one call. A change must be applied within two seconds.
DELAY_AFTER_CHANGES_S = 0.1

WatchResult = Result[TopicChanges | HistoryUnavailable, StoreError]


class StoreClient(Protocol):
    """Client for the platform's store."""

    async def read(self, topic: Topic) -> Result[Snapshot, StoreError]:
        """Return all records of `topic`."""
        ...

    async def watch(self, topic: Topic, after: Revision, wait_s: float) -> WatchResult:
        """Return the changes of `topic` after revision `after`, waiting up to `wait_s` seconds."""
        ...

    async def announce(self, record: HostRecord) -> Result[int, StoreError]:
        """Write `record` to the store, where other hosts find it; return the store's era."""
        ...


class StoreTurns:
    """Wait until this host may call the store."""

    def __init__(self, view: ViewController, exchange: ExchangeController) -> None:
        self._view = view
        self._exchange = exchange

    async def wait(self, caller: str) -> None:
        """Return at once while the store responds, and otherwise at the next turn of `caller`.

        `caller` is a topic or `ANNOUNCEMENT`. It reports the outcome of its call to the view.
        """
        while True:
            sharers = await self._exchange.request(GetProbeSharers())
            delay_s = await self._view.request(ReserveStoreCall(caller, sharers))
            if delay_s <= 0:
                return
            await asyncio.sleep(delay_s)


class TopicWatcher:
    """Keep one topic of the view up to date with the store.

    Every host reads the topic at the start, but only some watch it for changes; the others pull
    them from their peers.
    """

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
        self._turns = StoreTurns(view, exchange)
        self._failures = 0
        self._rereads = 0  # in a row, without another outcome of a watch in between
        self._watches: set[asyncio.Task[WatchResult]] = set()

    async def run(self) -> None:
        """Read the topic, then watch it for changes, until cancelled.

        Read it again whenever the store no longer has all changes since the last read.
        """
        try:
            await self._read_topic()
            # After this pause, hosts that started together know which of them watch the topic.
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            while True:
                while await self._watch_once():
                    pass
                await self._read_topic()
        finally:
            for watch in self._watches:
                watch.cancel()

    async def _read_topic(self) -> None:
        while True:
            await self._turns.wait(self._topic)
            result = await self._store.read(self._topic)
            if result.is_ok():
                self._failures = 0
                self._view.send(SnapshotReceived(result.ok, STORE_SOURCE))
                return
            await self._back_off(result.error)

    async def _watch_once(self) -> bool:
        """Wait for the next changes, if this host is a watcher of the topic or its copy is old.

        Return False if the store no longer has all changes since this host's revision.
        """
        turn = await self._exchange.request(GetWatchTurn(self._topic))
        if turn is None:
            fresh_s = await self._fresh_for_s()
            if fresh_s > 0:
                await asyncio.sleep(min(fresh_s, ROLE_CHECK_INTERVAL_S))
                return True
        await self._turns.wait(self._topic)
        revision = (await self._view.request(GetRevisions()))[self._topic]
        if turn is not None and await self._view.request(IsStoreReachable()):
            wait_s = watch_wait_s(self._topic, turn, revision.unchanged_s)
            result = await self._watch(revision.current, wait_s)
        else:
            result = await self._store.watch(self._topic, revision.current, PROBE_WATCH_S)
        if result.is_error():
            await self._back_off(result.error)
            return True
        self._failures = 0
        if isinstance(result.ok, HistoryUnavailable):
            self._view.send(StoreCallReleased(self._topic))
            self._rereads += 1
            is_repeated = self._rereads > 1
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S if is_repeated else DELAY_BEFORE_REREAD_S)
            return False
        self._rereads = 0
        self._view.send(ChangesReceived(result.ok))
        if result.ok.changes:
            await asyncio.sleep(DELAY_AFTER_CHANGES_S)
        return True

    async def _watch(self, after: Revision, wait_s: float) -> WatchResult:
        """Watch the topic, with a second watch if the first gets no response in time.

        The same if the copy gets old before that. The second one has a new connection, and does not
        wait for changes. The first response of the two counts; the other watch ends by its
        time-out.
        """
        first = self._start_watch(after, wait_s)
        is_overdue = await self._is_overdue(first, wait_s + OVERDUE_S)
        if first.done():
            return first.result()
        second = self._start_watch(after, PROBE_WATCH_S)
        await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
        earlier, later = (first, second) if first.done() else (second, first)
        if not is_overdue:
            return earlier.result()
        emit(
            WATCH_OVERDUE,
            topic=self._topic,
            waited_s=round(wait_s, 3),
            responded="new" if earlier is second and second.result().is_ok() else "old",
        )
        return earlier.result() if earlier.result().is_ok() else await later

    async def _is_overdue(self, watch: "asyncio.Task[WatchResult]", timeout_s: float) -> bool:
        """Wait for `watch`, and return whether it has no response after `timeout_s` seconds.

        Return False earlier if the copy of the topic gets old.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while not watch.done() and loop.time() < end:
            fresh_s = await self._fresh_for_s()
            if fresh_s <= 0:
                return False
            await asyncio.wait({watch}, timeout=min(fresh_s, end - loop.time()))
        return not watch.done()

    async def _fresh_for_s(self) -> float:
        """Return the seconds after which the copy of the topic is old; 0 or less if it is now."""
        max_age_s = await self._exchange.request(GetMaxCopyAge(self._topic))
        if math.isinf(max_age_s):
            return max_age_s
        age_s = (await self._view.request(GetRevisions()))[self._topic].age_s
        if age_s >= max_age_s:
            emit(COPY_OLD, topic=self._topic, age_s=round(age_s, 3))
        return max_age_s - age_s

    def _start_watch(self, after: Revision, wait_s: float) -> "asyncio.Task[WatchResult]":
        watch = asyncio.get_running_loop().create_task(
            self._store.watch(self._topic, after, wait_s)
        )
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)
        return watch

    async def _back_off(self, error: StoreError) -> None:
        self._failures += 1
        self._rereads = 0
        self._view.send(StoreCallFailed(self._topic, error.message))
        await asyncio.sleep(retry_delay_s(self._failures, random.random()))


class RetentionTimer:
    """Make the view check regularly whether retained records have expired."""

    def __init__(self, view: ViewController) -> None:
        self._view = view

    async def run(self) -> None:
        """Send `ExpireRetainedRecords` periodically until cancelled.

        The interval is `RETENTION_CHECK_INTERVAL_S` seconds.
        """
        while True:
            await asyncio.sleep(RETENTION_CHECK_INTERVAL_S)
            self._view.send(ExpireRetainedRecords())
