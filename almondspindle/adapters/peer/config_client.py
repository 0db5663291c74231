"""Client for the configuration methods of peers.

Each call opens a connection of its own. Routers call different peers all the time, so there would
soon be a cached channel for every host. Also, an unresponsive connection cannot delay a later call.
"""

from typing import Any

from grpc import aio

from almondspindle.adapters.peer.base import (
    ACK_CONFIG,
    GET_CONFIG,
    GET_STATUS,
    OPTIONS,
    PUSH_CONFIG,
    method_path,
)
from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.core.config_messages import (
    ConfigAck,
    ConfigPush,
    ConfigResponse,
    ConfigVersionNotice,
    GetConfigRequest,
    HostStatus,
    StatusRequest,
)

CALL_TIMEOUT_S = 2.0


class PeerConfigClient:
    """Call the configuration methods of peers. Calls return None on an error or time-out."""

    def __init__(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return the update from the requester's version to the peer's version."""
        return await self._call(address, GET_CONFIG, req)

    async def push_config(self, address: str, push: ConfigPush) -> ConfigVersionNotice | None:
        """Push a version to a peer; return the version that the peer then has in force."""
        return await self._call(address, PUSH_CONFIG, push)

    async def ack_config(self, address: str, ack: ConfigAck) -> None:
        """Report to a router which version an entry has in force."""
        await self._call(address, ACK_CONFIG, ack)

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries."""
        return await self._call(address, GET_STATUS, StatusRequest())

    async def _call(self, address: str, method: str, msg: object) -> Any:
        async with aio.insecure_channel(address, options=OPTIONS) as channel:
            call = channel.unary_unary(
                method_path(method), request_serializer=encode, response_deserializer=decode
            )
            try:
                return await call(msg, timeout=self._timeout_s)
            except (aio.AioRpcError, MalformedMessage):
                return None
