"""Subscribe to a router's configuration and roster."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from grpc import aio

from almondspindle.adapters.peer.base import SUBSCRIBE, method_path
from almondspindle.adapters.peer.client import IDLE_TIMEOUT_S, Channels, is_cancelling
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import SubscribeRequest
from almondspindle.adapters.peer.parts import Heartbeat
from almondspindle.core.clock import Clock
from almondspindle.core.events import SUBSCRIPTION_LOST
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.utils.idle_timer import IdleTimer

RECONNECT_DELAY_S = 0.2


class Subscription:
    """Receive updates from one router at a time; switch to the next one when a stream ends.

    `address` is that of the current router. A router that sends nothing for `idle_timeout_s`
    seconds, not even a heartbeat, counts as unresponsive.
    """

    def __init__(
        self,
        channels: Channels,
        addresses: Sequence[str],
        subscriber: HostName,
        listener: Callable[[object], None],
        clock: Clock,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._channels = channels
        self._addresses = list(addresses)
        self._subscriber = subscriber
        self._listener = listener
        self.address = self._addresses[0]
        self._clock = clock
        self._idle_timeouts = IdleTimeouts(idle_timeout_s, idle_timeout_s)

    async def run(self) -> None:
        """Pass updates to the listener until cancelled."""
        attempt = 0
        while True:
            self.address = self._addresses[attempt % len(self._addresses)]
            await self._subscribe(self.address)
            attempt += 1
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _subscribe(self, address: str) -> None:
        method = self._channels.get(address).unary_stream(
            method_path(SUBSCRIBE), request_serializer=encode, response_deserializer=decode
        )
        stream = method(SubscribeRequest(self._subscriber))
        try:
            await self._read(address, stream)
        finally:
            stream.cancel()

    async def _read(self, address: str, stream: Any) -> None:
        try:
            with IdleTimer(self._idle_timeouts, self._clock, stream.cancel) as timer:
                async for update in stream:
                    timer.note_progress()
                    if not isinstance(update, Heartbeat):
                        self._listener(update)
                    timer.start_waiting()
        except aio.AioRpcError as exc:
            emit(SUBSCRIPTION_LOST, address=address, reason=exc.details())
        except asyncio.CancelledError:
            if not timer.fired or is_cancelling():
                raise
            self._channels.discard(address)
            emit(SUBSCRIPTION_LOST, address=address, reason="the router is unresponsive")
