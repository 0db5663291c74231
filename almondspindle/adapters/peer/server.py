"""The server side of the peer protocol."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import grpc
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, SERVICE, SUBSCRIBE
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import RelayRequest, SubscribeRequest, call_from_relay
from almondspindle.chain.base import Chain
from almondspindle.core.calls import AnswerPart
from almondspindle.core.clock import Clock
from almondspindle.core.events import RELAY_DONE, REQUEST_REFUSED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Refusal

STOP_GRACE_S = 0.0
_NO_MORE = object()


@dataclass(frozen=True, slots=True)
class _ContextSink:
    """Write answer parts to a gRPC stream. A write waits while the reader is slow."""

    context: Any

    async def write(self, part: AnswerPart) -> None:
        """Pass `part` to the peer."""
        await self.context.write(part)


class Publisher:
    """Hand the newest state to every subscriber."""

    def __init__(self) -> None:
        self._latest: dict[type, object] = {}
        self._queues: set[asyncio.Queue[object]] = set()
        self._closed = False

    def publish(self, update: object, change: object | None = None) -> None:
        """Send `update` to all subscribers, and to later ones until a newer one comes.

        Present subscribers, who have the update before it, get `change` instead if it is given.
        """
        self._latest[type(update)] = update
        for queue in self._queues:
            queue.put_nowait(update if change is None else change)

    def close(self) -> None:
        """End all subscriptions, so that subscribers go to another router."""
        self._closed = True
        for queue in self._queues:
            queue.put_nowait(_NO_MORE)

    async def updates(self) -> AsyncIterator[object]:
        """Yield the newest update of each type, then every later one."""
        queue: asyncio.Queue[object] = asyncio.Queue()
        if self._closed:
            return
        for update in self._latest.values():
            queue.put_nowait(update)
        self._queues.add(queue)
        try:
            while (update := await queue.get()) is not _NO_MORE:
                yield update
        finally:
            self._queues.discard(queue)


class PeerServer:
    """Serve the peer methods of a router."""

    def __init__(self, owner_chain: Chain, publisher: Publisher, clock: Clock) -> None:
        self._chain = owner_chain
        self._publisher = publisher
        self._clock = clock
        self._server = aio.server(options=OPTIONS)
        self._unary: dict[str, Callable[[Any], Awaitable[object]]] = {}
        self._on_subscriber: Callable[[HostName, bool], None] = lambda subscriber, present: None

    def on_subscriber(self, listener: Callable[[HostName, bool], None]) -> None:
        """Call `listener` with True when a subscriber comes and with False when it goes."""
        self._on_subscriber = listener

    def add_method(self, name: str, handler: Callable[[Any], Awaitable[object]]) -> None:
        """Serve the unary method `name` with `handler`. Call before `start`."""
        self._unary[name] = handler

    async def start(self, address: str) -> int:
        """Listen on `address` and return the port."""
        port = self._server.add_insecure_port(address)
        self._server.add_generic_rpc_handlers((self._handlers(),))
        await self._server.start()
        return port

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop listening; requests in flight get `grace_s` seconds."""
        await self._server.stop(grace_s)

    def _handlers(self) -> grpc.GenericRpcHandler:
        codec = {"request_deserializer": decode, "response_serializer": encode}
        methods = {
            RELAY: grpc.unary_stream_rpc_method_handler(self._relay, **codec),
            SUBSCRIBE: grpc.unary_stream_rpc_method_handler(self._subscribe, **codec),
        }
        for name, handler in self._unary.items():
            methods[name] = grpc.unary_unary_rpc_method_handler(_unary(handler), **codec)
        return grpc.method_handlers_generic_handler(SERVICE, methods)

    async def _relay(self, req: RelayRequest, context: Any) -> None:
        call = call_from_relay(req, self._clock.monotonic())
        finished = await self._chain.run(call, _ContextSink(context))
        if finished.refusal is None:
            emit(RELAY_DONE, request_id=req.request_id, target=req.target)
            return
        _log_refusal(req, finished.refusal)
        await context.write(finished.refusal)

    async def _subscribe(self, req: SubscribeRequest, context: Any) -> None:
        self._on_subscriber(req.subscriber, True)
        try:
            async for update in self._publisher.updates():
                await context.write(update)
        finally:
            self._on_subscriber(req.subscriber, False)


def _unary(handler: Callable[[Any], Awaitable[object]]) -> Callable[[Any, Any], Awaitable[object]]:
    async def serve(req: Any, context: Any) -> object:
        return await handler(req)

    return serve


def _log_refusal(req: RelayRequest, refusal: Refusal) -> None:
    emit(
        REQUEST_REFUSED,
        request_id=req.request_id,
        target=req.target,
        code=refusal.code,
        reason=refusal.message,
        run_state=refusal.run_state,
    )
