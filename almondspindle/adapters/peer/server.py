"""The server of the peer protocol, and the publisher of state to its subscribers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, SERVICE, SUBSCRIBE
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import (
    RelayRequest,
    SubscribeRequest,
    call_from_relay_request,
)
from almondspindle.adapters.peer.streams import HeartbeatSender, HeartbeatStream, RelaySink
from almondspindle.chain.base import Chain
from almondspindle.core.clock import Clock
from almondspindle.core.events import DRAIN_BEGUN, RELAY_DONE, REQUEST_REFUSED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Refusal, RefusalCode
from almondspindle.utils.in_flight import InFlightCounter

STOP_GRACE_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
STOPPING_REFUSAL = Refusal(
    RefusalCode.STOPPING, "this router is stopping and accepts no new requests"
)
_END_OF_UPDATES = object()


class Publisher:
    """Send the latest state, and each change of it, to every subscriber."""

    def __init__(self) -> None:
        self._latest: dict[type, object] = {}
        self._queues: set[asyncio.Queue[object]] = set()
        self._closed = False

    def publish(self, update: object, change: object | None = None) -> None:
        """Send `update` to current subscribers, and to later ones until a newer one replaces it.

        If `change` is given, current subscribers receive it instead of `update`, because they
        have the previous update.
        """
        self._latest[type(update)] = update
        for queue in self._queues:
            queue.put_nowait(update if change is None else change)

    def close(self) -> None:
        """End all subscriptions, so that subscribers switch to another router."""
        self._closed = True
        for queue in self._queues:
            queue.put_nowait(_END_OF_UPDATES)

    async def updates(self) -> AsyncIterator[object]:
        """Yield the latest update of each type, then each later update or change until `close`."""
        queue: asyncio.Queue[object] = asyncio.Queue()
        if self._closed:
            return
        for update in self._latest.values():
            queue.put_nowait(update)
        self._queues.add(queue)
        try:
            while (update := await queue.get()) is not _END_OF_UPDATES:
                yield update
        finally:
            self._queues.discard(queue)


class PeerServer:
    """Serve relayed calls, subscriptions and the unary methods of a router."""

    def __init__(
        self,
        owner_chain: Chain,
        publisher: Publisher,
        clock: Clock,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._chain = owner_chain
        self._publisher = publisher
        self._clock = clock
        self._server = aio.server(options=OPTIONS)
        self._heartbeats = HeartbeatSender(heartbeat_interval_s)
        self._in_flight = InFlightCounter()
        self._draining = False
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._unary_methods: dict[str, Callable[[Any], Awaitable[object]]] = {}
        self._on_subscription: Callable[[HostName, bool], None] = (
            lambda subscriber, subscribed: None
        )

    def set_subscription_listener(self, listener: Callable[[HostName, bool], None]) -> None:
        """Have `listener` called with True on each subscription, and with False when it ends."""
        self._on_subscription = listener

    def add_method(self, name: str, handler: Callable[[Any], Awaitable[object]]) -> None:
        """Serve the unary method `name` with `handler`. Call before `start`."""
        self._unary_methods[name] = handler

    async def start(self, address: str) -> int:
        """Listen on `address` and return the port."""
        port = self._server.add_insecure_port(address)
        self._server.add_generic_rpc_handlers((self._handlers(),))
        await self._server.start()
        self._heartbeat_task = asyncio.ensure_future(self._heartbeats.run())
        return port

    async def drain(self, timeout_s: float) -> int:
        """Refuse new relays, end subscriptions, and wait up to `timeout_s` for relays in flight.

        `timeout_s` is in seconds. Return the number of relays that are still in flight. The server
        continues to listen, so that a late relay gets a refusal with run state NOT_RUN instead of
        a connection error.
        """
        emit(DRAIN_BEGUN, in_flight=self._in_flight.count)
        self._draining = True
        self._publisher.close()
        return await self._in_flight.wait_idle(timeout_s)

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop listening; abort the calls that are still in flight after `grace_s` seconds."""
        await self._server.stop(grace_s)
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    def _handlers(self) -> grpc.GenericRpcHandler:
        codec = {"request_deserializer": decode, "response_serializer": encode}
        methods = {
            RELAY: grpc.unary_stream_rpc_method_handler(self._relay, **codec),
            SUBSCRIBE: grpc.unary_stream_rpc_method_handler(self._subscribe, **codec),
        }
        for name, handler in self._unary_methods.items():
            methods[name] = grpc.unary_unary_rpc_method_handler(_without_context(handler), **codec)
        return grpc.method_handlers_generic_handler(SERVICE, methods)

    async def _relay(self, req: RelayRequest, context: Any) -> None:
        if self._draining:
            await context.write(STOPPING_REFUSAL)
            return
        stream = self._heartbeats.open(context)
        self._in_flight.enter()
        try:
            await self._run_chain(req, stream)
        finally:
            self._in_flight.leave()
            self._heartbeats.close(stream)

    async def _run_chain(self, req: RelayRequest, stream: HeartbeatStream) -> None:
        call = call_from_relay_request(req, self._clock.monotonic())
        completion = await self._chain.run(call, RelaySink(stream, req.request_id))
        if completion.refusal is None:
            emit(RELAY_DONE, request_id=req.request_id, target=req.target)
            return
        _log_refusal(req, completion.refusal)
        await stream.write(completion.refusal)

    async def _subscribe(self, req: SubscribeRequest, context: Any) -> None:
        self._on_subscription(req.subscriber, True)
        stream = self._heartbeats.open(context)
        try:
            async for update in self._publisher.updates():
                await stream.write(update)
        finally:
            self._heartbeats.close(stream)
            self._on_subscription(req.subscriber, False)


def _without_context(
    handler: Callable[[Any], Awaitable[object]],
) -> Callable[[Any, Any], Awaitable[object]]:
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
