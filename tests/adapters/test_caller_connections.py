"""Tests for the connections of callers: their ends, time-outs and limits."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from almondspindle.adapters.http1.server import HttpServer
from almondspindle.core.calls import (
    Call,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponseSink,
)
from almondspindle.core.clock import SystemClock
from almondspindle.core.identifiers import TargetName
from almondspindle.core.registry import MetricRegistry
from almondspindle.core.routes import RequestLimits
from almondspindle.decisions.shutdown import StopSchedule
from almondspindle.platform import headers as codec
from almondspindle.utils.addresses import listening_socket
from tests.standins.node_fleet import encode_request, read_response, wait_until

REQUEST = encode_request("/commit/", b"x" * 100)


class StubChain:
    """A chain that responds to each call with `body` at once."""

    def __init__(self, body: bytes = b"done") -> None:
        self.body = body
        self.calls: list[Call] = []

    async def run(self, call: Call, sink: ResponseSink) -> Completion:
        self.calls.append(call)
        await sink.write(ResponseHead(200, (), TargetName("t"), len(self.body)))
        await sink.write(ResponseChunk(self.body))
        await sink.write(ResponseEnd())
        return Completion(started=True)


class ShiftedClock(SystemClock):
    """The system's clock, set forward by `ahead_s`."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead_s


@asynccontextmanager
async def running_server(chain: StubChain):
    """Run a server; yield it, its address and its clock."""
    clock = ShiftedClock()
    server = HttpServer(chain, codec, clock, MetricRegistry())
    listener = listening_socket("127.0.0.1:0")
    await server.listen(listener)
    try:
        yield server, listener.getsockname(), clock
    finally:
        server.abort()
        await asyncio.sleep(0)


@asynccontextmanager
async def connected(address):
    """Connect without a step of the event loop; yield the socket, which blocks."""
    with socket.create_connection(address) as sock:
        yield sock


@asynccontextmanager
async def half_sent_request():
    """Run a server that has read `REQUEST` but for its end; yield it, its clock and the socket."""
    async with (
        running_server(StubChain()) as (server, address, clock),
        connected(address) as sock,
    ):
        sock.sendall(REQUEST[:-50])
        await wait_until(lambda: any(c.is_reading_request for c in server._connections))
        yield server, clock, sock


async def stream_of(sock: socket.socket):
    """Return reader and writer for `sock`, which doesn't block any longer."""
    sock.setblocking(False)
    return await asyncio.open_connection(sock=sock)


def test_a_connection_in_the_backlog_when_the_listener_closes_is_served():
    async def check() -> None:
        async with (
            running_server(StubChain()) as (server, address, _),
            connected(address) as sock,
        ):
            sock.sendall(REQUEST)
            await server.stop_accepting()
            reader, _ = await stream_of(sock)
            assert (await read_response(reader)).status == 200

    asyncio.run(check())


def test_bytes_behind_the_last_request_do_not_destroy_its_response():
    chain = StubChain(b"y" * 4_000_000)
    request = encode_request("/commit/", b"x", Connection="close")

    async def check() -> None:
        async with running_server(chain) as (_, address, _), connected(address) as sock:
            reader, writer = await stream_of(sock)
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" in head
            writer.write(b"z" * 2_000_000)
            assert len(await reader.read(-1)) == len(chain.body)

    asyncio.run(check())


def test_a_refused_body_is_read_so_that_the_refusal_arrives():
    request = encode_request("/commit/", b"x" * 6_000_000)

    async def check() -> None:
        async with running_server(StubChain()) as (_, address, _), connected(address) as sock:
            reader, writer = await stream_of(sock)
            writer.write(request)
            await writer.drain()
            response = await read_response(reader)
            assert (response.status, response.is_complete) == (413, True)

    asyncio.run(check())


def test_a_time_out_is_not_judged_before_bytes_that_have_arrived_are_read():
    """The event loop may have been held up between their arrival and the check."""

    async def check() -> None:
        async with half_sent_request() as (server, clock, sock):
            sock.sendall(REQUEST[-50:])
            clock.ahead_s = server.limits.header_timeout_s + 1
            server.close_overdue()
            reader, _ = await stream_of(sock)
            assert (await read_response(reader)).status == 200
            clock.ahead_s += server.limits.idle_timeout_s + 2
            sock.sendall(REQUEST)
            server.close_overdue()
            assert (await read_response(reader)).status == 200

    asyncio.run(check())


def test_a_connection_past_its_time_out_is_closed():
    async def check() -> None:
        async with half_sent_request() as (server, clock, sock):
            clock.ahead_s = server.limits.header_timeout_s + 1
            server.close_overdue()
            reader, _ = await stream_of(sock)
            assert await reader.read() == b""

    asyncio.run(check())


@pytest.mark.parametrize(
    "limits",
    [RequestLimits(body_bytes=10), RequestLimits(header_bytes=50), RequestLimits(10, 10, 0.1, 0.1)],
)
def test_a_request_is_read_under_the_limits_in_force_when_it_began(limits):
    async def check() -> None:
        async with (
            running_server(StubChain()) as (server, address, clock),
            connected(address) as sock,
        ):
            reader, writer = await stream_of(sock)
            writer.write(REQUEST[:40])
            await wait_until(lambda: any(c.is_reading_request for c in server._connections))
            server.set_limits(limits)
            clock.ahead_s = 2.0
            server.close_overdue()
            writer.write(REQUEST[40:])
            assert (await read_response(reader)).status == 200

    asyncio.run(check())


def test_a_connection_that_is_idle_when_the_limit_is_shortened_is_not_closed_at_once():
    async def check() -> None:
        async with (
            running_server(StubChain()) as (server, address, clock),
            connected(address) as sock,
        ):
            reader, writer = await stream_of(sock)
            writer.write(REQUEST)
            assert (await read_response(reader)).status == 200
            await wait_until(lambda: all(c.is_waiting for c in server._connections))
            clock.ahead_s = 0.8 * server.limits.idle_timeout_s
            server.set_limits(RequestLimits(idle_timeout_s=2.0))
            server.close_overdue()
            writer.write(REQUEST)
            assert (await read_response(reader)).status == 200

    asyncio.run(check())


def test_a_response_that_a_slow_caller_has_not_taken_when_the_process_stops_is_logged(monkeypatch):
    """Guards against callers without a whole response of whom the log says nothing."""
    events: list[dict[str, object]] = []
    monkeypatch.setattr(
        "almondspindle.adapters.http1.server.emit",
        lambda event, **fields: events.append({"event": event.name, **fields}),
    )

    async def check() -> None:
        body = b"x" * 16 * 1024 * 1024  # more than the kernel takes for a caller that doesn't read
        async with (
            running_server(StubChain(body)) as (server, address, _),
            connected(address) as sock,
        ):
            sock.sendall(REQUEST)
            await wait_until(lambda: any(c.last_request_id for c in server._connections))
            now = server.now()
            await server.finish_connections(StopSchedule(now, now, now + 9.0, now + 0.3))

    asyncio.run(check())
    unsent = [each for each in events if each["event"] == "response_unsent"]
    assert [each["request_id"] for each in unsent] == ["r-1"]
    assert unsent[0]["bytes"] > 0


OFFERS = {
    "h2c": "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": "Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n",
}
CHUNKED_BODY = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


def with_offer(offer: str, request_id: str, is_chunked: bool = False) -> bytes:
    """Return a request with the body "abcde" that offers another protocol."""
    head, _, body = encode_request("/commit/x", b"abcde", request_id).partition(b"\r\n\r\n")
    if is_chunked:
        head = head.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")
        body = CHUNKED_BODY
    return head + b"\r\n" + offer.encode() + b"\r\n" + body


@pytest.mark.parametrize("piece", [1, 7, 100_000], ids=["bytes", "pieces", "at once"])
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS.keys())
def test_a_request_that_offers_another_protocol_is_served_whole(offer, is_chunked, piece):
    """It ran with an empty body, and a refusal that nobody asked for came after its response."""
    chain = StubChain()
    data = b"".join(
        (
            with_offer(offer, "r-1", is_chunked),
            encode_request("/commit/y", b"second", "r-2"),
            with_offer(offer, "r-3", is_chunked),
            encode_request("/commit/y", b"last", "r-4", Connection="close"),
        )
    )

    async def check() -> None:
        async with running_server(chain) as (_, address, _), connected(address) as sock:
            reader, writer = await stream_of(sock)
            for start in range(0, len(data), piece):
                writer.write(data[start : start + piece])
                await writer.drain()
            responses = await reader.read()
            assert responses.count(b"HTTP/1.1 ") == responses.count(b"HTTP/1.1 200 OK") == 4

    asyncio.run(asyncio.wait_for(check(), 20))
    assert [(call.request_id, call.body) for call in chain.calls] == [
        ("r-1", b"abcde"),
        ("r-2", b"second"),
        ("r-3", b"abcde"),
        ("r-4", b"last"),
    ]
    names = {name.lower() for call in chain.calls for name, _ in call.headers}
    assert not names & {"upgrade", "http2-settings", "connection"}


def test_a_request_to_connect_gets_one_refusal():
    chain = StubChain()

    async def check() -> None:
        async with running_server(chain) as (_, address, _), connected(address) as sock:
            reader, writer = await stream_of(sock)
            writer.write(b"CONNECT h.example:443 HTTP/1.1\r\nHost: h.example:443\r\n\r\n")
            assert (await read_response(reader)).status == 400
            assert await reader.read() == b""

    asyncio.run(asyncio.wait_for(check(), 20))
    assert not chain.calls


def test_the_continuation_of_a_request_with_an_offer_is_asked_for_once():
    async def check() -> None:
        async with running_server(StubChain()) as (_, address, _), connected(address) as sock:
            reader, writer = await stream_of(sock)
            offer = OFFERS["h2c"] + "Expect: 100-continue\r\n"
            head, _, body = with_offer(offer, "r-1").partition(b"\r\n\r\n")
            writer.write(head + b"\r\n\r\n")
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(body)
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")

    asyncio.run(asyncio.wait_for(check(), 20))
