"""Tests of relayed calls and subscriptions, over real gRPC in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import grpc
import pytest
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, SERVICE
from almondspindle.adapters.peer.client import Channels, PeerOwnerClient
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.parts import (
    Heartbeat,
    RelayedChunk,
    RelayedEnd,
    RelayedHead,
)
from almondspindle.adapters.peer.server import PeerServer, Publisher
from almondspindle.adapters.peer.subscription import Subscription
from almondspindle.chain.base import Chain
from almondspindle.core.calls import (
    Call,
    Candidate,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    WorkKind,
)
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from tests.standins.black_hole import BlackHole
from tests.standins.sinks import BlockingSink, ListSink

REQUEST_ID, OTHER_REQUEST_ID = "0123456789abcdef01234567", "f" * 24
HEAD = ResponseHead(200, (("Content-Type", "text/event-stream"),), "t")
HEARTBEAT_INTERVAL_S = 0.1
IDLE_TIMEOUT_S = 1.0
TEST_TIMEOUT_S = 20.0
ANY_PORT = "127.0.0.1:0"


def make_call(request_id: str = REQUEST_ID) -> Call:
    deadline_at = SystemClock().monotonic() + TEST_TIMEOUT_S
    return Call(request_id, deadline_at, "POST", "/x", team="a", work=WorkKind.CHAT)


def head(request_id: str = REQUEST_ID) -> RelayedHead:
    return RelayedHead(request_id, HEAD)


def chunk(sequence: int) -> RelayedChunk:
    return RelayedChunk(sequence, ResponseChunk(b"%d;" % sequence, sequence))


def end(sequence: int, request_id: str = REQUEST_ID) -> RelayedEnd:
    return RelayedEnd(request_id, sequence)


@asynccontextmanager
async def server_of_parts(parts: list) -> AsyncIterator[str]:
    """Run a peer that responds to every relayed call with `parts`; yield its address."""

    async def relay(req: Any, context: Any) -> None:
        for part in parts:
            await context.write(part)

    method = grpc.unary_stream_rpc_method_handler(
        relay, request_deserializer=decode, response_serializer=encode
    )
    server = aio.server(options=OPTIONS)
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, {RELAY: method}),)
    )
    port = server.add_insecure_port(ANY_PORT)
    await server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.stop(0)


@dataclass
class FakeTerminal:
    """The end of an owner's chain. `respond` writes the response.

    The events tell whether a call has started and whether it was cancelled.
    """

    respond: Callable
    started: asyncio.Event = field(default_factory=asyncio.Event)
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)

    async def finish(self, call, sink, now) -> Completion:
        self.started.set()
        try:
            return await self.respond(call, sink)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@asynccontextmanager
async def peer_server(respond: Callable) -> AsyncIterator[tuple[PeerServer, FakeTerminal, str]]:
    """Run a router whose owner chain is `respond`; yield it with its terminal and address."""
    terminal = FakeTerminal(respond)
    chain = Chain((), terminal, SystemClock())
    publisher = Publisher()
    publisher.publish(ConfigSet(1))
    server = PeerServer(chain, publisher, SystemClock(), HEARTBEAT_INTERVAL_S)
    port = await server.start(ANY_PORT)
    try:
        yield server, terminal, f"127.0.0.1:{port}"
    finally:
        await server.stop(0)


@asynccontextmanager
async def owner_client() -> AsyncIterator[PeerOwnerClient]:
    channels = Channels()
    try:
        yield PeerOwnerClient(channels, SystemClock(), IDLE_TIMEOUT_S)
    finally:
        await channels.close()


async def relay(address: str, sink: ListSink, request_id: str = REQUEST_ID) -> Completion:
    async with owner_client() as client:
        candidate = Candidate("t", "owner", address)
        return await asyncio.wait_for(
            client.relay(make_call(request_id), candidate, sink), TEST_TIMEOUT_S
        )


async def respond_completely(call, sink) -> Completion:
    await sink.write(HEAD)
    await sink.write(ResponseChunk(b"0;", 0))
    await sink.write(ResponseEnd())
    return Completion(True)


async def never_respond(call, sink) -> Completion:
    await asyncio.Event().wait()
    raise AssertionError


INVALID_PART_SEQUENCES = {
    "head of another request": [head(OTHER_REQUEST_ID), chunk(0), end(1)],
    "end of another request": [head(), chunk(0), end(1, OTHER_REQUEST_ID)],
    "duplicate chunk": [head(), chunk(0), chunk(0), end(1)],
    "missing chunk": [head(), chunk(0), chunk(2), end(3)],
    "chunks out of order": [head(), chunk(1), chunk(0), end(2)],
    "missing last chunk": [head(), chunk(0), end(2)],
    "second head": [head(), chunk(0), head(), end(1)],
    "missing end": [head(), chunk(0)],
}


@pytest.mark.parametrize(
    "parts", INVALID_PART_SEQUENCES.values(), ids=INVALID_PART_SEQUENCES.keys()
)
def test_invalid_sequence_of_parts_is_an_error(parts):
    async def check() -> None:
        sink = ListSink()
        async with server_of_parts(parts) as address:
            completion = await relay(address, sink)
        assert completion.refusal.code is RefusalCode.RESPONSE_BROKEN
        assert completion.started == bool(sink.heads)
        assert not sink.is_ended

    asyncio.run(check())


def test_heartbeats_are_not_written_to_the_sink():
    async def check() -> None:
        sink = ListSink()
        heartbeat = Heartbeat()
        async with server_of_parts(
            [heartbeat, head(), heartbeat, chunk(0), heartbeat, end(1)]
        ) as address:
            assert await relay(address, sink) == Completion(True)
        assert sink.parts == [HEAD, ResponseChunk(b"0;", 0), ResponseEnd()]

    asyncio.run(check())


def test_heartbeats_prevent_the_idle_timeout_of_a_slow_response():
    async def respond_slowly(call, sink) -> Completion:
        await asyncio.sleep(2 * IDLE_TIMEOUT_S)
        return await respond_completely(call, sink)

    async def check() -> None:
        async with peer_server(respond_slowly) as (_, _, address):
            assert await relay(address, ListSink()) == Completion(True)

    asyncio.run(check())


def test_time_spent_in_a_slow_sink_does_not_count_as_idle():
    async def check() -> None:
        sink = BlockingSink()
        async with peer_server(respond_completely) as (_, _, address):
            asyncio.get_running_loop().call_later(2 * IDLE_TIMEOUT_S, sink.unblocked.set)
            assert await relay(address, sink) == Completion(True)

    asyncio.run(check())


@pytest.mark.parametrize("parts", [[], [HEAD, ResponseChunk(b"0;", 0)]], ids=["first", "later"])
def test_unresponsive_connection_is_replaced_by_a_new_one(parts):
    async def check() -> None:
        parts_written = asyncio.Event()

        async def respond(call, sink) -> Completion:
            if call.request_id != REQUEST_ID:
                return await respond_completely(call, sink)
            for part in parts:
                await sink.write(part)
            parts_written.set()
            return await never_respond(call, sink)

        async with (
            peer_server(respond) as (_, _, address),
            BlackHole(address) as hole,
            owner_client() as client,
        ):
            candidate = Candidate("t", "owner", hole.address)
            sink = ListSink()
            first = asyncio.ensure_future(client.relay(make_call(), candidate, sink))
            await asyncio.wait_for(parts_written.wait(), TEST_TIMEOUT_S)
            hole.drop_data()
            completion = await asyncio.wait_for(first, TEST_TIMEOUT_S)
            assert completion.refusal.code is RefusalCode.PEER_UNREACHABLE
            assert completion.refusal.run_state is RunState.UNKNOWN
            assert not sink.is_ended
            second = client.relay(make_call(OTHER_REQUEST_ID), candidate, ListSink())
            assert await asyncio.wait_for(second, TEST_TIMEOUT_S) == Completion(True)
            assert hole.connections == 2

    asyncio.run(check())


def test_cancelling_a_relay_cancels_the_call_at_the_owner():
    async def check() -> None:
        async with peer_server(never_respond) as (server, terminal, address):
            task = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), TEST_TIMEOUT_S)
            task.cancel()
            await asyncio.wait_for(terminal.cancelled.wait(), TEST_TIMEOUT_S)
            assert await server.drain(TEST_TIMEOUT_S) == 0

    asyncio.run(check())


def test_draining_router_completes_relays_and_refuses_new_ones():
    async def check() -> None:
        may_respond = asyncio.Event()

        async def respond(call, sink) -> Completion:
            await may_respond.wait()
            return await respond_completely(call, sink)

        async with peer_server(respond) as (server, terminal, address):
            first = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), TEST_TIMEOUT_S)
            draining = asyncio.ensure_future(server.drain(TEST_TIMEOUT_S))
            await asyncio.sleep(0)
            refused = await relay(address, ListSink(), OTHER_REQUEST_ID)
            assert refused.refusal.code is RefusalCode.STOPPING
            assert refused.refusal.run_state is RunState.NOT_RUN
            may_respond.set()
            assert await first == Completion(True)
            assert await draining == 0

    asyncio.run(check())


def test_drain_returns_the_number_of_relays_in_flight_at_its_timeout():
    async def check() -> None:
        async with peer_server(never_respond) as (server, terminal, address):
            task = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), TEST_TIMEOUT_S)
            assert await server.drain(0.0) == 1
            task.cancel()

    asyncio.run(check())


@dataclass
class Updates:
    """The updates that a subscription has received."""

    received: asyncio.Queue = field(default_factory=asyncio.Queue)

    async def next(self) -> Any:
        return await asyncio.wait_for(self.received.get(), TEST_TIMEOUT_S)


@asynccontextmanager
async def subscription(*addresses: str) -> AsyncIterator[Updates]:
    updates = Updates()
    channels = Channels()
    subscriber = Subscription(
        channels, addresses, "entry", updates.received.put_nowait, SystemClock(), IDLE_TIMEOUT_S
    )
    task = asyncio.ensure_future(subscriber.run())
    try:
        yield updates
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await channels.close()


def test_subscription_switches_from_an_unresponsive_router_to_the_next():
    async def check() -> None:
        async with (
            peer_server(respond_completely) as (_, _, first),
            peer_server(respond_completely) as (second, _, other),
            BlackHole(first) as hole,
            subscription(hole.address, other) as updates,
        ):
            second._publisher.publish(ConfigSet(2))
            assert (await updates.next()).version == 1
            hole.drop_data()
            assert (await updates.next()).version == 2

    asyncio.run(check())


def test_subscription_switches_from_a_draining_router_to_the_next():
    async def check() -> None:
        async with (
            peer_server(respond_completely) as (first, _, address),
            peer_server(respond_completely) as (second, _, other),
            subscription(address, other) as updates,
        ):
            second._publisher.publish(ConfigSet(2))
            assert (await updates.next()).version == 1
            assert await first.drain(TEST_TIMEOUT_S) == 0
            assert (await updates.next()).version == 2

    asyncio.run(check())


def test_refusal_of_the_owner_is_returned_unchanged():
    refusal = Refusal(RefusalCode.FULL, "no room", retry_after_s=1.0)

    async def refuse(call, sink) -> Completion:
        return Completion(False, refusal)

    async def check() -> None:
        async with peer_server(refuse) as (_, _, address):
            assert await relay(address, ListSink()) == Completion(False, refusal)

    asyncio.run(check())
