"""A caller that closes its connection right after a complete response must not cancel the chain."""

import asyncio

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
    server, port = listen(make_app(context, None), "127.0.0.1:0", cfg.max_header_bytes)
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
