"""Watch the configuration in the platform's store, on the hosts that have this role.

The full configuration is large, so the watch is on the small feed of recent changes. A list call
before each watch detects a configuration that was stored without an update of the feed.
"""

import asyncio

from almondspindle.adapters.platform.base import Platform, StoredObject, StoreError
from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    parse_config,
    parse_feed,
)
from almondspindle.controllers.configuration.messages import ApplyDelta, ConfigReceived, GetConfig
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.events import (
    CONFIG_INVALID,
    CONFIG_ROLE_CHANGED,
    CONFIG_STORE_BEHIND,
    STORE_FAILED,
)
from almondspindle.core.logs import emit

RETRY_INTERVAL_S = 0.5
LISTED_PREFIX = "config/c"  # matches the configuration and its feed, but not the history


class ConfigWatcher:
    """Watch the store while this host has that role, and pass each version to the controller."""

    def __init__(
        self, platform: Platform, controller: ConfigurationController, wait_s: float
    ) -> None:
        self._platform = platform
        self._controller = controller
        self._wait_s = wait_s
        self._seen_feed_version = 0
        self._seen_config_version = 0
        self._watching = asyncio.Event()
        self._watching.set()

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching. A watch call in flight is not interrupted."""
        if watching == self._watching.is_set():
            return
        emit(CONFIG_ROLE_CHANGED, watching=watching)
        if watching:
            self._watching.set()
        else:
            self._watching.clear()

    async def run(self) -> None:
        """Watch the store whenever this host has the role, until cancelled."""
        while True:
            await self._watching.wait()
            if not await self.watch_once():
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def watch_once(self) -> bool:
        """Check for a version missing from the feed, then await a change; return False on failure.

        The wait for a change is bounded; its time-out is not a failure.
        """
        if not await self._check_config():
            return False
        found = await self._platform.watch(FEED_OBJECT, self._seen_feed_version, self._wait_s)
        if found.is_error():
            return _report_failure("watch", found.error)
        if found.ok is not None:
            await self._apply_feed(found.ok)
        return True

    async def _check_config(self) -> bool:
        names = await self._platform.list_names(LISTED_PREFIX)
        if names.is_error():
            return _report_failure("list", names.error)
        if names.ok.get(FEED_OBJECT, 0) < self._seen_feed_version:
            self._seen_feed_version = 0
        version = names.ok.get(CONFIG_OBJECT, 0)
        if version == self._seen_config_version:
            return True
        if version == 0:
            self._seen_config_version = 0
            await self._warn_if_behind(0)
            return True
        return await self._read_config()

    async def _read_config(self) -> bool:
        found = await self._platform.read(CONFIG_OBJECT)
        if found.is_error():
            return _report_failure("read", found.error)
        self._seen_config_version = found.ok.version
        if found.ok.version == 0:
            return True
        config = parse_config(found.ok.value, found.ok.version)
        if config.is_error():
            emit(CONFIG_INVALID, version=found.ok.version, reason=config.error)
            return True
        await self._warn_if_behind(config.ok.version)
        self._controller.send(ConfigReceived(config.ok))
        return True

    async def _apply_feed(self, stored: StoredObject) -> None:
        self._seen_feed_version = stored.version
        feed = parse_feed(stored.value)
        if feed.is_error():
            emit(CONFIG_INVALID, version=stored.version, reason=feed.error)
            return
        for entry in feed.ok.entries:
            await self._controller.request(ApplyDelta(entry.forward))
        in_force = await self._controller.request(GetConfig())
        if in_force.version >= feed.ok.version:
            self._seen_config_version = max(self._seen_config_version, feed.ok.store_version)

    async def _warn_if_behind(self, version: int) -> None:
        in_force = await self._controller.request(GetConfig())
        if version < in_force.version:
            emit(CONFIG_STORE_BEHIND, version=version, in_force=in_force.version)


def _report_failure(call: str, error: StoreError) -> bool:
    emit(STORE_FAILED, call=call, reason=error.message)
    return False
