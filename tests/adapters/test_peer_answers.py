"""Faults at the border between peers, over real gRPC in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import grpc
import pytest
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, SERVICE
from almondspindle.adapters.peer.client import Channels, PeerOwnerLink
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.parts import Heartbeat, RelayedChunk, RelayedEnd, RelayedHead
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

MINE, OTHER = "0123456789abcdef01234567", "f" * 24
HEAD = ResponseHead(200, (("Content-Type", "text/event-stream"),), "t")
BEAT_S = 0.1
SILENCE_S = 1.0
WAIT_S = 20.0
ANY_PORT = "127.0.0.1:0"


def make_call(request_id: str = MINE) -> Call:
    deadline_at = SystemClock().monotonic() + WAIT_S
    return Call(request_id, deadline_at, "POST", "/x", team="a", work=WorkKind.CHAT)


def head(request_id: str = MINE) -> RelayedHead:
    return RelayedHead(request_id, HEAD)


def piece(sequence: int) -> RelayedChunk:
    return RelayedChunk(sequence, ResponseChunk(b"%d;" % sequence, sequence))


def end(sequence: int, request_id: str = MINE) -> RelayedEnd:
    return RelayedEnd(request_id, sequence)


@asynccontextmanager
async def parts_server(parts: list) -> AsyncIterator[str]:
    """Serve a peer that answers every relay with `parts`."""

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
    """An owner's chain end that runs a test's function; counts what was cancelled."""

    answer: Callable
    started: asyncio.Event = field(default_factory=asyncio.Event)
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)

    async def finish(self, call, sink, now) -> Completion:
        self.started.set()
        try:
            return await self.answer(call, sink)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@asynccontextmanager
async def peer_server(answer: Callable) -> AsyncIterator[tuple[PeerServer, FakeTerminal, str]]:
    terminal = FakeTerminal(answer)
    chain = Chain((), terminal, SystemClock())
    publisher = Publisher()
    publisher.publish(ConfigSet(1))
    server = PeerServer(chain, publisher, SystemClock(), BEAT_S)
    port = await server.start(ANY_PORT)
    try:
        yield server, terminal, f"127.0.0.1:{port}"
    finally:
        await server.stop(0)


@asynccontextmanager
async def owner_link() -> AsyncIterator[PeerOwnerLink]:
    channels = Channels()
    try:
        yield PeerOwnerLink(channels, SystemClock(), SILENCE_S)
    finally:
        await channels.close()


async def relay(address: str, sink: ListSink, request_id: str = MINE) -> Completion:
    async with owner_link() as link:
        candidate = Candidate("t", "owner", address)
        return await asyncio.wait_for(link.relay(make_call(request_id), candidate, sink), WAIT_S)


async def whole(call, sink) -> Completion:
    await sink.write(HEAD)
    await sink.write(ResponseChunk(b"0;", 0))
    await sink.write(ResponseEnd())
    return Completion(True)


async def never(call, sink) -> Completion:
    await asyncio.Event().wait()
    raise AssertionError


BROKEN = {
    "crossed head": [head(OTHER), piece(0), end(1)],
    "crossed end": [head(), piece(0), end(1, OTHER)],
    "piece twice": [head(), piece(0), piece(0), end(1)],
    "piece lost": [head(), piece(0), piece(2), end(3)],
    "pieces out of order": [head(), piece(1), piece(0), end(2)],
    "last piece lost": [head(), piece(0), end(2)],
    "second head": [head(), piece(0), head(), end(1)],
    "no end mark": [head(), piece(0)],
}


@pytest.mark.parametrize("parts", BROKEN.values(), ids=BROKEN.keys())
def test_a_broken_relay_is_an_error(parts):
    async def check() -> None:
        sink = ListSink()
        async with parts_server(parts) as address:
            finished = await relay(address, sink)
        assert finished.refusal.code is RefusalCode.RESPONSE_BROKEN
        assert finished.started == bool(sink.heads)
        assert not sink.is_ended

    asyncio.run(check())


def test_heartbeats_are_no_part_of_the_answer():
    async def check() -> None:
        sink = ListSink()
        beat = Heartbeat()
        async with parts_server([beat, head(), beat, piece(0), beat, end(1)]) as address:
            assert await relay(address, sink) == Completion(True)
        assert sink.parts == [HEAD, ResponseChunk(b"0;", 0), ResponseEnd()]

    asyncio.run(check())


def test_heartbeats_keep_a_slow_answer_alive():
    async def slow(call, sink) -> Completion:
        await asyncio.sleep(2 * SILENCE_S)
        return await whole(call, sink)

    async def check() -> None:
        async with peer_server(slow) as (_, _, address):
            assert await relay(address, ListSink()) == Completion(True)

    asyncio.run(check())


def test_a_slow_reader_does_not_make_a_router_silent():
    async def check() -> None:
        sink = BlockingSink()
        async with peer_server(whole) as (_, _, address):
            asyncio.get_running_loop().call_later(2 * SILENCE_S, sink.unblocked.set)
            assert await relay(address, sink) == Completion(True)

    asyncio.run(check())


@pytest.mark.parametrize("parts", [[], [HEAD, ResponseChunk(b"0;", 0)]], ids=["first", "later"])
def test_a_silent_connection_is_abandoned_and_a_new_one_works(parts):
    async def check() -> None:
        hold = asyncio.Event()

        async def answer(call, sink) -> Completion:
            if call.request_id != MINE:
                return await whole(call, sink)
            for part in parts:
                await sink.write(part)
            hold.set()
            return await never(call, sink)

        async with (
            peer_server(answer) as (_, _, address),
            BlackHole(address) as hole,
            owner_link() as link,
        ):
            candidate = Candidate("t", "owner", hole.address)
            sink = ListSink()
            first = asyncio.ensure_future(link.relay(make_call(), candidate, sink))
            await asyncio.wait_for(hold.wait(), WAIT_S)
            hole.drop_data()
            finished = await asyncio.wait_for(first, WAIT_S)
            assert finished.refusal.code is RefusalCode.PEER_UNREACHABLE
            assert finished.refusal.run_state is RunState.UNKNOWN
            assert not sink.is_ended
            second = link.relay(make_call(OTHER), candidate, ListSink())
            assert await asyncio.wait_for(second, WAIT_S) == Completion(True)
            assert hole.connections == 2

    asyncio.run(check())


def test_a_cancelled_relay_cancels_the_owners_work():
    async def check() -> None:
        async with peer_server(never) as (server, terminal, address):
            task = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), WAIT_S)
            task.cancel()
            await asyncio.wait_for(terminal.cancelled.wait(), WAIT_S)
            assert await server.drain(WAIT_S) == 0

    asyncio.run(check())


def test_a_draining_router_ends_relays_and_refuses_new_ones():
    async def check() -> None:
        go_on = asyncio.Event()

        async def answer(call, sink) -> Completion:
            await go_on.wait()
            return await whole(call, sink)

        async with peer_server(answer) as (server, terminal, address):
            first = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), WAIT_S)
            draining = asyncio.ensure_future(server.drain(WAIT_S))
            await asyncio.sleep(0)
            refused = await relay(address, ListSink(), OTHER)
            assert refused.refusal.code is RefusalCode.STOPPING
            assert refused.refusal.run_state is RunState.NOT_RUN
            go_on.set()
            assert await first == Completion(True)
            assert await draining == 0

    asyncio.run(check())


def test_a_drain_tells_how_many_relays_its_bound_cuts():
    async def check() -> None:
        async with peer_server(never) as (server, terminal, address):
            task = asyncio.ensure_future(relay(address, ListSink()))
            await asyncio.wait_for(terminal.started.wait(), WAIT_S)
            assert await server.drain(0.0) == 1
            task.cancel()

    asyncio.run(check())


@dataclass
class Updates:
    """Collect the updates of a subscription."""

    seen: asyncio.Queue = field(default_factory=asyncio.Queue)

    async def next(self) -> Any:
        return await asyncio.wait_for(self.seen.get(), WAIT_S)


@asynccontextmanager
async def subscription(*addresses: str) -> AsyncIterator[Updates]:
    updates = Updates()
    channels = Channels()
    follower = Subscription(
        channels, addresses, "entry", updates.seen.put_nowait, SystemClock(), SILENCE_S
    )
    task = asyncio.ensure_future(follower.run())
    try:
        yield updates
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await channels.close()


def test_a_subscription_leaves_a_silent_router_for_the_next_one():
    async def check() -> None:
        async with (
            peer_server(whole) as (_, _, first),
            peer_server(whole) as (second, _, other),
            BlackHole(first) as hole,
            subscription(hole.address, other) as updates,
        ):
            second._publisher.publish(ConfigSet(2))
            assert (await updates.next()).version == 1
            hole.drop_data()
            assert (await updates.next()).version == 2

    asyncio.run(check())


def test_a_subscription_leaves_a_draining_router_for_the_next_one():
    async def check() -> None:
        async with (
            peer_server(whole) as (first, _, address),
            peer_server(whole) as (second, _, other),
            subscription(address, other) as updates,
        ):
            second._publisher.publish(ConfigSet(2))
            assert (await updates.next()).version == 1
            assert await first.drain(WAIT_S) == 0
            assert (await updates.next()).version == 2

    asyncio.run(check())


def test_a_refusal_of_the_owner_comes_back_as_it_was():
    refusal = Refusal(RefusalCode.FULL, "no room", retry_after_s=1.0)

    async def refuse(call, sink) -> Completion:
        return Completion(False, refusal)

    async def check() -> None:
        async with peer_server(refuse) as (_, _, address):
            assert await relay(address, ListSink()) == Completion(False, refusal)

    asyncio.run(check())
