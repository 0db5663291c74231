"""Requests for which an exception is raised: each still gets a response."""

import asyncio

import pytest

from almondspindle.adapters.http1.server import HttpServer
from almondspindle.chain.base import Chain
from almondspindle.core.calls import Call, Completion, ResponseHead, ResponseSink
from almondspindle.core.clock import SystemClock
from almondspindle.core.metrics import NullMetrics
from almondspindle.core.outcomes import Outcome
from almondspindle.platform import headers as codec
from almondspindle.utils.addresses import listening_socket
from tests.standins import replica as r
from tests.standins.node_fleet import (
    PLAIN_SERVICE,
    encode_request,
    manifest,
    read_response,
    running_platform,
    wait_until,
)
from tests.standins.ports import LOOPBACK

RESPONSE_TIMEOUT_S = 5.0  # more than the deadline of the requests
HUGE = "9" * 5000


def run(check) -> None:
    asyncio.run(check())


@pytest.mark.parametrize("team", ["équipe", "チーム"], ids=["latin-1", "unicode"])
def test_a_team_with_letters_outside_ascii_gets_answers_after_a_change(team):
    async def check() -> None:
        async with running_platform(plain=r.complete_response) as (store, host, groups):
            tenants = [{"name": team, "api_keys": ["key-2"]}]
            await store.put("config", "main", manifest(version=2, tenants=tenants))
            request = encode_request("/commit/", b"x", X_Api_Key="key-2")

            async def is_answered() -> bool:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    return (await host.send(request)).status == 200

            await wait_until(is_answered)
            received = [each for replica in groups[PLAIN_SERVICE] for each in replica.requests]
            sent = received[-1].headers["x-tenant"].encode("latin-1")
            assert sent.decode() == team

    run(check)


def test_a_team_name_cannot_add_a_header():
    async def check() -> None:
        async with running_platform(plain=r.complete_response) as (store, host, groups):
            tenants = [{"name": "a\r\nX-Pin-Ms: 9", "api_keys": ["key-2"]}]
            await store.put("config", "main", manifest(version=2, tenants=tenants))
            request = encode_request("/commit/", b"x", X_Api_Key="key-2")

            async def is_known() -> bool:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    return (await host.send(request)).status != 401

            await wait_until(is_known)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                assert (await host.send(request)).status == 503
            assert not groups[PLAIN_SERVICE][0].requests + groups[PLAIN_SERVICE][1].requests

    run(check)


@pytest.mark.parametrize("digits", [400, 5000])
@pytest.mark.parametrize("name", ["X-Deadline-Ms", "Last-Event-Id", "X-Token-Count"])
def test_a_request_with_a_huge_number_in_a_header_is_answered(name, digits):
    async def check() -> None:
        async with running_platform(plain=r.complete_response) as (_, host, _):
            fields = {name: "9" * digits, "X-Prompt-Prefix": "aa:" + "9" * 600}
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await host.send(encode_request("/read/", b"x", **fields))
            assert (response.status, response.is_complete) == (200, True)

    run(check)


def long_keep_alive(request: r.ReceivedRequest) -> r.ScriptedResponse:
    return r.complete_response(request, extra=f"Keep-Alive: timeout={HUGE}\r\n")


def long_event_number(request: r.ReceivedRequest) -> r.ScriptedResponse:
    event = f"id: {HUGE}\ndata: token\n\n".encode()
    return r.ScriptedResponse((r.stream_head(request), r.chunk(event), b"0\r\n\r\n"))


@pytest.mark.parametrize("behave", [long_keep_alive, long_event_number])
def test_a_response_with_a_huge_number_is_delivered(behave):
    async def check() -> None:
        async with running_platform(plain=behave, model=behave) as (_, host, _):
            path = "/read/" if behave is long_keep_alive else "/stream/"
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await host.send(encode_request(path, b"x"))
            assert (response.status, response.is_complete) == (200, True)

    run(check)


class FailingTerminal:
    """A terminal that raises, before the head of the response or after it."""

    def __init__(self, writes_head: bool) -> None:
        self._writes_head = writes_head

    async def finish(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Raise an error of a kind that nobody expects."""
        if self._writes_head:
            await sink.write(ResponseHead(200, (), call.target, length=10))
        raise LookupError("a value that nobody expected")


@pytest.mark.parametrize("writes_head", [False, True])
def test_an_unexpected_exception_ends_the_connection_with_a_response_or_a_cut(writes_head):
    async def check() -> None:
        clock = SystemClock()
        chain = Chain((), FailingTerminal(writes_head), clock)
        server = HttpServer(chain, codec, clock, NullMetrics())
        listener = listening_socket(f"{LOOPBACK}:0")
        await server.listen(listener)
        try:
            for _ in range(2):
                reader, writer = await asyncio.open_connection(*listener.getsockname())
                writer.write(encode_request("/x/", b"x"))
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    response = await read_response(reader)
                    with_end = await reader.read() == b"" if not writes_head else True
                assert (response.status, response.is_complete) == (
                    (200, False) if writes_head else (502, True)
                )
                assert with_end
                writer.close()
            assert server.in_flight.count == 0
        finally:
            server.abort()

    run(check)


class FailingFilter:
    """A filter that raises an error of a kind that nobody expects."""

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Raise the error."""
        raise LookupError("a value that nobody expected")


def test_an_unexpected_exception_in_a_filter_is_answered():
    async def check() -> None:
        clock = SystemClock()
        chain = Chain((FailingFilter(),), FailingTerminal(writes_head=False), clock)
        server = HttpServer(chain, codec, clock, NullMetrics())
        listener = listening_socket(f"{LOOPBACK}:0")
        await server.listen(listener)
        try:
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(encode_request("/x/", b"x"))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await read_response(reader)
                assert (response.status, response.is_complete) == (502, True)
                assert await reader.read() == b""
            writer.close()
        finally:
            server.abort()

    run(check)
