"""A caller that closes its connection right after a complete response must not cancel the chain."""

import asyncio
import json

import pytest

from almondspindle.adapters.http_front.handlers import HandlerContext
from almondspindle.adapters.http_front.server import listen, make_app
from almondspindle.conf.entry import EntryCfg
from almondspindle.core.calls import Completion, ResponseChunk, ResponseEnd, ResponseHead
from almondspindle.core.clock import SystemClock
from almondspindle.core.metrics import NullMetrics
from tests.standins.caller import Caller


class ClosingChain:
    """Write a complete response, and report the connection as closed before the chain has ended.

    With a Content-Length, the caller has the complete response before `ResponseEnd` is written.
    """

    def __init__(self, headers, parts) -> None:
        self.parts = (ResponseHead(200, headers, "t1"), *parts)
        self.ended = False

    async def run(self, call, sink) -> Completion:
        for part in self.parts:
            await sink.write(part)
        sink._handler.on_connection_close()
        await asyncio.sleep(0)
        if ResponseEnd() not in self.parts:
            await sink.write(ResponseEnd())
        self.ended = True
        return Completion(started=True)


async def one_request(headers, parts) -> tuple[bytes, bool]:
    cfg = EntryCfg(host="h", zone="z", routers=["127.0.0.1:1"])
    chain = ClosingChain(headers, parts)
    context = HandlerContext(cfg, chain, SystemClock(), NullMetrics())
    server, sockets = listen(make_app(context, None), "127.0.0.1:0", cfg.max_header_bytes)
    port = sockets[0].getsockname()[1]
    response = await Caller(f"127.0.0.1:{port}").read()
    await context.in_flight.wait_idle(10.0)
    server.stop()
    return response.body, chain.ended


BODY = ResponseChunk(b"whole")


@pytest.mark.parametrize(
    ("headers", "parts"),
    [((), (BODY, ResponseEnd())), ((("Content-Length", "5"),), (BODY,))],
    ids=["end-mark", "content-length"],
)
def test_a_connection_closed_after_the_complete_response_does_not_cancel_the_chain(headers, parts):
    assert asyncio.run(one_request(headers, parts)) == (b"whole", True)


class FailingChain:
    """Raise an exception of a kind that nobody expects, after writing `parts`."""

    def __init__(self, parts) -> None:
        self._parts = parts

    async def run(self, call, sink) -> Completion:
        for part in self._parts:
            await sink.write(part)
        raise LookupError("a value that nobody expected")


EVENTS = (("Content-Type", "text/event-stream"),)


@pytest.mark.parametrize("has_begun", [False, True])
def test_an_unexpected_exception_never_makes_a_response_look_complete(has_begun):
    async def check() -> None:
        cfg = EntryCfg(host="h", zone="z", routers=["127.0.0.1:1"])
        event = ResponseChunk(b"id: 1\ndata: a\n\n")
        parts = (ResponseHead(200, EVENTS, "t1"), event) if has_begun else ()
        context = HandlerContext(cfg, FailingChain(parts), SystemClock(), NullMetrics())
        server, sockets = listen(make_app(context, None), "127.0.0.1:0", cfg.max_header_bytes)
        port = sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = b'{"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]}'
        lines = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\n"
            f"X-Chat-Id: c\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(lines.encode() + body)
        async with asyncio.timeout(10.0):
            response = await reader.read()
        assert (b"\r\n0\r\n\r\n" in response) is False
        assert response.startswith(b"HTTP/1.1 200" if has_begun else b"HTTP/1.1 500")
        await context.in_flight.wait_idle(10.0)
        writer.close()
        server.stop()

    asyncio.run(check())


class WaitingChain:
    """Never respond."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()

    async def run(self, call, sink) -> Completion:
        self.begun.set()
        await asyncio.Event().wait()
        return Completion(started=False)


def test_a_call_that_the_end_of_a_stop_cuts_is_refused_with_an_unknown_outcome():
    async def check() -> None:
        cfg = EntryCfg(host="h", zone="z", routers=["127.0.0.1:1"])
        chain = WaitingChain()
        context = HandlerContext(cfg, chain, SystemClock(), NullMetrics())
        server, sockets = listen(make_app(context, None), "127.0.0.1:0", cfg.max_header_bytes)
        port = sockets[0].getsockname()[1]
        sent = asyncio.ensure_future(Caller(f"127.0.0.1:{port}").read())
        await chain.begun.wait()
        context.is_stopping = True
        context.end_calls()
        response = await sent
        assert (response.status, response.headers["Connection"]) == (502, "close")
        assert json.loads(response.body)["error"]["run_state"] == "outcome unknown"
        assert await context.in_flight.wait_idle(10.0) == 0
        server.stop()

    asyncio.run(check())
