"""The task of an entry that follows its router's configuration and acknowledges each version."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Protocol

from almondspindle.controllers.configuration.messages import (
    ConfigRead,
    GetConfig,
    TakeDelta,
    Taken,
)
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.spread import ConfigAck, ConfigResponse, ConfigUpToDate, GetConfigRequest


class FollowLink(Protocol):
    """The way to the router that an entry follows. None stands for no answer in time."""

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return what the router has above the entry's version."""
        ...

    async def ack_config(self, address: str, ack: ConfigAck) -> None:
        """Tell the router which version the entry has in force."""
        ...


class ConfigFollower:
    """Apply updates in the order in which they come.

    `address` gives the router followed at present; `settled` returns once all other controllers of
    the entry have handled the version, so that an acknowledged version holds for each new request.
    """

    def __init__(
        self,
        subscriber: HostName,
        controller: ConfigurationController,
        link: FollowLink,
        address: Callable[[], str],
        settled: Callable[[], Awaitable[object]],
    ) -> None:
        self._subscriber = subscriber
        self._controller = controller
        self._link = link
        self._address = address
        self._settled = settled
        self._updates: asyncio.Queue[object] = asyncio.Queue()

    def tell(self, update: ConfigSet | ConfigDelta) -> None:
        """Take an update from the router."""
        self._updates.put_nowait(update)

    async def run(self) -> None:
        """Apply and acknowledge updates until cancelled."""
        while True:
            await self.follow(await self._updates.get())

    async def follow(self, update: object) -> None:
        """Apply one update and acknowledge the version that is then in force."""
        await self.take(update)
        in_force = await self._controller.request(GetConfig())
        await self._settled()
        await self._link.ack_config(self._address(), ConfigAck(self._subscriber, in_force.version))

    @singledispatchmethod
    async def take(self, update: object) -> None:
        """Apply one update."""
        raise InvariantError(f"unexpected update {type(update).__name__}")

    @take.register
    async def _(self, update: ConfigSet) -> None:
        self._controller.send(ConfigRead(update))

    @take.register
    async def _(self, update: ConfigUpToDate) -> None:
        return None

    @take.register
    async def _(self, update: ConfigDelta) -> None:
        if await self._controller.request(TakeDelta(update)) is not Taken.GAP:
            return
        # After a change of router the difference may start elsewhere.
        own = await self._controller.request(GetConfig())
        req = GetConfigRequest(own.version, own.nonce)
        answer = await self._link.get_config(self._address(), req)
        if isinstance(answer, ConfigDelta):
            await self._controller.request(TakeDelta(answer))
        elif answer is not None:
            await self.take(answer)
