"""The task of an entry that applies its router's configuration and acknowledges each version."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Protocol

from almondspindle.controllers.configuration.messages import (
    ApplyDelta,
    ConfigReceived,
    DeltaOutcome,
    GetConfig,
)
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import (
    ConfigAck,
    ConfigResponse,
    ConfigUpToDate,
    GetConfigRequest,
)
from almondspindle.core.identifiers import HostName
from almondspindle.core.outcomes import InvariantError


class FollowerClient(Protocol):
    """Client for the router that an entry subscribes to."""

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return the update to the router's version, or None without a response in time."""
        ...

    async def ack_config(self, address: str, ack: ConfigAck) -> None:
        """Report the version in force on the entry to the router."""
        ...


class ConfigFollower:
    """Apply configuration updates in the order received.

    `address` returns the address of the current router. `wait_processed` waits until all other
    controllers of the entry have processed the version in force. An acknowledged version therefore
    applies to every later request.
    """

    def __init__(
        self,
        subscriber: HostName,
        controller: ConfigurationController,
        client: FollowerClient,
        address: Callable[[], str],
        wait_processed: Callable[[], Awaitable[object]],
    ) -> None:
        self._subscriber = subscriber
        self._controller = controller
        self._client = client
        self._address = address
        self._wait_processed = wait_processed
        self._updates: asyncio.Queue[object] = asyncio.Queue()

    def enqueue(self, update: ConfigSet | ConfigDelta) -> None:
        """Queue an update from the router."""
        self._updates.put_nowait(update)

    async def run(self) -> None:
        """Apply and acknowledge updates until cancelled."""
        while True:
            await self.apply_and_acknowledge(await self._updates.get())

    async def apply_and_acknowledge(self, update: object) -> None:
        """Apply one update, then acknowledge the version in force."""
        await self.apply(update)
        in_force = await self._controller.request(GetConfig())
        await self._wait_processed()
        await self._client.ack_config(
            self._address(), ConfigAck(self._subscriber, in_force.version)
        )

    @singledispatchmethod
    async def apply(self, update: object) -> None:
        """Apply one update."""
        raise InvariantError(f"unexpected update {type(update).__name__}")

    @apply.register
    async def _(self, update: ConfigSet) -> None:
        self._controller.send(ConfigReceived(update))

    @apply.register
    async def _(self, update: ConfigUpToDate) -> None:
        return None

    @apply.register
    async def _(self, update: ConfigDelta) -> None:
        if await self._controller.request(ApplyDelta(update)) is not DeltaOutcome.GAP:
            return
        # After a change of router the first delta may have another base.
        in_force = await self._controller.request(GetConfig())
        req = GetConfigRequest(in_force.version, in_force.nonce)
        response = await self._client.get_config(self._address(), req)
        if isinstance(response, ConfigDelta):
            await self._controller.request(ApplyDelta(response))
        elif response is not None:
            await self.apply(response)
