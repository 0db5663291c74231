"""Send one request to a target over a connection of its own, and stream the response back.

A connection carries one request and is never reused, so the library cannot send a request twice.
HTTP/1.1 itself is implemented by tornado.
"""

import asyncio
import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from almondspindle.adapters.target.base import request_headers
from almondspindle.adapters.target.delegate import ResponseDelegate
from almondspindle.core.calls import Call, Completion, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Error, Ok, Outcome, Refusal, RefusalCode, RunState
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.utils.addresses import split_address
from almondspindle.utils.idle_timer import IdleTimer

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1 << 40  # out of reach; the default is the size of the read buffer
READ_CHUNK_BYTES = 64 * 1024
MAX_READ_BUFFER_BYTES = 4 * READ_CHUNK_BYTES
DEFAULT_IDLE_TIMEOUTS = IdleTimeouts(first_byte_s=30.0, between_bytes_s=10.0)


class HttpTargetClient:
    """Send calls to targets over HTTP/1.1."""

    def __init__(self, clock: Clock, idle_timeouts: IdleTimeouts = DEFAULT_IDLE_TIMEOUTS) -> None:
        self._clock = clock
        self._idle_timeouts = idle_timeouts

    async def send(self, call: Call, sink: ResponseSink, now: float) -> Completion:
        """Send `call` to its target once and write the response into `sink`."""
        opened = await self._connect(call.target_address)
        if opened.is_error():
            return Completion(started=False, refusal=opened.error)
        stream = opened.ok
        delegate = ResponseDelegate(call, sink, stream)
        try:
            return await asyncio.wait_for(
                self._receive(call, stream, delegate), call.deadline_at - now
            )
        except TimeoutError:
            delegate.fail(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed")
            return await delegate.conclude()
        finally:
            stream.close()

    async def _receive(
        self, call: Call, stream: IOStream, delegate: ResponseDelegate
    ) -> Completion:
        def on_idle_timeout() -> None:
            delegate.fail(
                RefusalCode.TARGET_UNREACHABLE, "the target sent no data within the idle time-out"
            )

        with IdleTimer(self._idle_timeouts, self._clock, on_idle_timeout) as delegate.timer:
            try:
                await _exchange(call, stream, delegate)
            except (StreamClosedError, OSError):
                delegate.connection_closed()
        return await delegate.conclude()

    async def _connect(self, address: str) -> Outcome[IOStream]:
        # Target addresses are numeric, so no resolver and none of its threads are needed.
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = IOStream(socket.socket(family), max_buffer_size=MAX_READ_BUFFER_BYTES)
        try:
            connecting = stream.connect((host, port))
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, StreamClosedError, TimeoutError) as exc:
            stream.close()
            text = f"cannot connect to {address}: {exc!r}"
            return Error(Refusal(RefusalCode.TARGET_UNREACHABLE, text, RunState.NOT_RUN))
        stream.set_nodelay(True)
        return Ok(stream)


async def _exchange(call: Call, stream: IOStream, delegate: ResponseDelegate) -> None:
    params = HTTP1ConnectionParameters(
        no_keep_alive=True, chunk_size=READ_CHUNK_BYTES, max_body_size=MAX_RESPONSE_BYTES
    )
    conn = HTTP1Connection(stream, is_client=True, params=params)
    start = RequestStartLine(call.method, call.target_path, "HTTP/1.1")
    headers = HTTPHeaders()
    for name, value in request_headers(call):
        headers.add(name, value)
    await conn.write_headers(start, headers, call.body or None)
    conn.finish()
    await conn.read_response(delegate)
