"""Obtain a router's first configuration: the highest version among the store and some peers.

A router admits no work until a configuration is in force. After a restart it therefore can't serve
a zone that operators took out while it was down.
"""

import asyncio
from typing import Protocol

from almondspindle.adapters.platform.base import ABSENT_VERSION, Platform
from almondspindle.adapters.platform.stored_config import CONFIG_OBJECT, parse_config
from almondspindle.controllers.configuration.dissemination import DisseminationController
from almondspindle.controllers.configuration.exchange import ConfigExchangeClient
from almondspindle.controllers.configuration.messages import ConfigReceived, GetConfig, SamplePeers
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import GetConfigRequest, HostStatus
from almondspindle.core.events import CONFIG_INVALID, STORE_FAILED
from almondspindle.core.logs import emit
from almondspindle.decisions.configuration.delta import apply_delta

QUERIED_PEERS = 8
RETRY_INTERVAL_S = 0.3


class BootstrapClient(ConfigExchangeClient, Protocol):
    """Client for peers during the start."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host, or None without a response in time."""
        ...


class ConfigBootstrapper:
    """Query the store and some peers repeatedly until a configuration is in force."""

    def __init__(
        self,
        platform: Platform,
        dissemination: DisseminationController,
        controller: ConfigurationController,
        client: BootstrapClient,
    ) -> None:
        self._platform = platform
        self._dissemination = dissemination
        self._controller = controller
        self._client = client

    async def run(self) -> None:
        """Return once a configuration is in force."""
        started = await self.try_once()
        while not started:
            await asyncio.sleep(RETRY_INTERVAL_S)
            started = await self.try_once()

    async def try_once(self) -> bool:
        """Put the highest version found in force; return whether any version is in force."""
        stored, peers = await asyncio.gather(self._read_store(), self._query_peers())
        if peers.version > stored.version:
            self._controller.send(ConfigReceived(peers))
        elif stored.version > 0:
            self._controller.send(ConfigReceived(stored))
        return (await self._controller.request(GetConfig())).version > 0

    async def _read_store(self) -> ConfigSet:
        found = await self._platform.read(CONFIG_OBJECT)
        if found.is_error():
            emit(STORE_FAILED, call="read", reason=found.error.message)
            return ConfigSet()
        if found.ok.version == ABSENT_VERSION:
            return ConfigSet()
        config = parse_config(found.ok.value, found.ok.version)
        if config.is_error():
            emit(CONFIG_INVALID, version=found.ok.version, reason=config.error)
            return ConfigSet()
        return config.ok

    async def _query_peers(self) -> ConfigSet:
        addresses = await self._dissemination.request(SamplePeers(QUERIED_PEERS))
        statuses = await asyncio.gather(*(self._client.status(address) for address in addresses))
        found = [
            (status.version, address)
            for status, address in zip(statuses, addresses, strict=True)
            if status is not None and status.version > 0
        ]
        for _, address in sorted(found, reverse=True):
            response = await self._client.get_config(address, GetConfigRequest(0))
            if isinstance(response, ConfigDelta):
                response = apply_delta(ConfigSet(), response)
            if isinstance(response, ConfigSet):
                return response
        return ConfigSet()
