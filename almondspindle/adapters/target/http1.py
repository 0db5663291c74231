"""Send one request to a target over its own connection, and stream the answer back.

A connection serves one request and is never reused, so no request can be sent twice by the
library. The HTTP machinery is tornado's client side of HTTP/1.1.
"""

import asyncio
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from almondspindle.adapters.target.base import REQUEST_ID_HEADER, answer_headers, request_headers
from almondspindle.core.calls import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerSink,
    Call,
    CallerGone,
    Finished,
)
from almondspindle.core.clock import Clock
from almondspindle.core.identifiers import TargetName
from almondspindle.core.outcomes import Error, Ok, Outcome, Refusal, RefusalCode, RunState
from almondspindle.decisions.answers import AnswerCheck

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1 << 40
READ_CHUNK_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200


class _AnswerDelegate(HTTPMessageDelegate):
    """Pass the parts of an answer to the sink as they arrive."""

    def __init__(self, call: Call, target: TargetName, sink: AnswerSink, stream: IOStream) -> None:
        self._target = target
        self._sink = sink
        self._stream = stream
        self._check = AnswerCheck(call.request_id)
        self.started = False
        self.ended = False
        self.problem: str | None = None
        self.failure: BaseException | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check the head and pass it on."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < FIRST_FINAL_STATUS:
            return None
        self.problem = self._check.head(
            headers.get("Content-Type", ""), headers.get(REQUEST_ID_HEADER)
        )
        if self.problem is not None:
            self._stream.close()
            return None
        self.started = True
        passed = answer_headers(tuple(headers.get_all()))
        return self._pass_on(AnswerHead(start_line.code, passed, self._target))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a piece of the body on."""
        self._check.chunk(chunk)
        return self._pass_on(AnswerChunk(chunk))

    def finish(self) -> None:
        """Note the end of a body that HTTP says is whole."""
        self.ended = True
        self.problem = self._check.end()

    def on_connection_close(self) -> None:
        """Leave `ended` unset: the connection closed before the answer was whole."""

    async def _pass_on(self, part: AnswerHead | AnswerChunk) -> None:
        if self.failure is not None:
            return
        try:
            await self._sink.write(part)
        except CallerGone as exc:
            self.failure = exc
            self._stream.close()


class HttpTargetLink:
    """Send calls to targets over HTTP/1.1."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tcp = TCPClient()

    async def send(self, call: Call, sink: AnswerSink, now: float) -> Finished:
        """Send `call` to its target once and write the answer into `sink`."""
        assert call.target is not None
        opened = await self._connect(call.target_address)
        if opened.is_error():
            return Finished(started=False, refusal=opened.error)
        stream = opened.ok
        delegate = _AnswerDelegate(call, call.target, sink, stream)
        try:
            await asyncio.wait_for(_exchange(call, stream, delegate), call.deadline_at - now)
        except TimeoutError:
            return _broken(delegate, RefusalCode.DEADLINE_EXCEEDED, "the deadline passed")
        except (StreamClosedError, OSError) as exc:
            return _broken(delegate, RefusalCode.TARGET_UNREACHABLE, repr(exc))
        finally:
            stream.close()
        return await _conclude(delegate, sink)

    async def _connect(self, address: str) -> Outcome[IOStream]:
        host, _, port = address.rpartition(":")
        try:
            stream = await self._tcp.connect(host, int(port), timeout=CONNECT_TIMEOUT_S)
        except (OSError, StreamClosedError, TimeoutError) as exc:
            text = f"no connection to {address}: {exc!r}"
            return Error(Refusal(RefusalCode.TARGET_UNREACHABLE, text, RunState.NOT_RUN))
        stream.set_nodelay(True)
        return Ok(stream)


async def _exchange(call: Call, stream: IOStream, delegate: _AnswerDelegate) -> None:
    params = HTTP1ConnectionParameters(
        no_keep_alive=True, chunk_size=READ_CHUNK_BYTES, max_body_size=MAX_ANSWER_BYTES
    )
    conn = HTTP1Connection(stream, is_client=True, params=params)
    start = RequestStartLine(call.method, call.target_path, "HTTP/1.1")
    headers = HTTPHeaders()
    for name, value in request_headers(call):
        headers.add(name, value)
    await conn.write_headers(start, headers, call.body or None)
    conn.finish()
    await conn.read_response(delegate)


async def _conclude(delegate: _AnswerDelegate, sink: AnswerSink) -> Finished:
    if delegate.failure is not None:
        raise delegate.failure
    if delegate.problem is not None:
        return _broken(delegate, RefusalCode.ANSWER_BROKEN, delegate.problem)
    if not delegate.ended:
        text = "the target closed the connection before the answer was whole"
        return _broken(delegate, RefusalCode.ANSWER_BROKEN, text)
    await sink.write(AnswerEnd())
    return Finished(started=True)


def _broken(delegate: _AnswerDelegate, code: RefusalCode, text: str) -> Finished:
    return Finished(delegate.started, Refusal(code, text, RunState.UNKNOWN))
