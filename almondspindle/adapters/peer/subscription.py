"""Follow a router's configuration and roster."""

import asyncio
from collections.abc import Callable, Sequence

from grpc import aio

from almondspindle.adapters.peer.base import SUBSCRIBE, method_path
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import SubscribeRequest
from almondspindle.core.identifiers import HostName

RECONNECT_PAUSE_S = 0.2


class Subscription:
    """Read updates from the first router that answers; go to the next one when it fails."""

    def __init__(
        self,
        channels: Channels,
        addresses: Sequence[str],
        subscriber: HostName,
        listener: Callable[[object], None],
    ) -> None:
        self._channels = channels
        self._addresses = list(addresses)
        self._subscriber = subscriber
        self._listener = listener
        self.address = self._addresses[0]

    async def run(self) -> None:
        """Pass updates to the listener until cancelled."""
        turn = 0
        while True:
            self.address = self._addresses[turn % len(self._addresses)]
            await self._follow(self.address)
            turn += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _follow(self, address: str) -> None:
        method = self._channels.get(address).unary_stream(
            method_path(SUBSCRIBE), request_serializer=encode, response_deserializer=decode
        )
        try:
            async for update in method(SubscribeRequest(self._subscriber)):
                self._listener(update)
        except aio.AioRpcError:
            return
