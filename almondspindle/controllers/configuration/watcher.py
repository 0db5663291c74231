"""Follow the configuration object in the platform's store."""

import asyncio

from almondspindle.adapters.platform.base import Platform, StoredObject
from almondspindle.adapters.platform.stored_config import parse_config
from almondspindle.controllers.configuration.messages import ConfigRead
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.events import CONFIG_INVALID, STORE_FAILED
from almondspindle.core.logs import emit

CONFIG_OBJECT = "config/current"
PAUSE_AFTER_FAILURE_S = 0.5


class ConfigWatcher:
    """Watch the configuration object and tell the controller of each version."""

    def __init__(
        self, platform: Platform, controller: ConfigurationController, wait_s: float
    ) -> None:
        self._platform = platform
        self._controller = controller
        self._wait_s = wait_s
        self._seen = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            found = await self._platform.watch(CONFIG_OBJECT, self._seen, self._wait_s)
            if found.is_error():
                emit(STORE_FAILED, call="watch", reason=found.error.message)
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
            elif found.ok is not None:
                self._take(found.ok)

    def _take(self, stored: StoredObject) -> None:
        self._seen = max(self._seen, stored.version)
        config = parse_config(stored.value, stored.version)
        if config.is_error():
            emit(CONFIG_INVALID, version=stored.version, reason=config.error)
            return
        self._controller.tell(ConfigRead(config.ok))
