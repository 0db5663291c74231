"""Validate a target's response while it arrives, and forward it."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import cast

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from almondspindle.adapters.target.base import REQUEST_ID_HEADER, response_headers
from almondspindle.adapters.target.events import EventScanner, EventTooLong, StreamEvent
from almondspindle.core.calls import (
    Call,
    CallerDisconnected,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResponseSink,
)
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.responses import (
    ResponseHeadInfo,
    ResponseValidator,
    StatusKind,
    status_kind,
)
from almondspindle.utils.numbers import MAX_DIGITS, parse_digits
from almondspindle.utils.idle_timer import IdleTimer

NO_BODY_STATUSES = frozenset({204, 304})
RESPONSE_TRUNCATED = "the target closed the connection before the response was complete"
NO_RESPONSE = "the target closed the connection without a response"


@dataclass(frozen=True, slots=True)
class Fault:
    """Why a response was abandoned."""

    code: RefusalCode
    text: str


class ResponseDelegate(HTTPMessageDelegate):
    """Forward the parts of a response to the sink as they arrive.

    The last piece of a body of known length, or the end mark of a stream, is held back until the
    response is known to be complete, so that a caller can't take a broken response for a complete
    one.
    """

    def __init__(self, call: Call, sink: ResponseSink, stream: IOStream) -> None:
        self._call = call
        self._sink = sink
        self._stream = stream
        self._validator = ResponseValidator(call.request_id, call.resume_after)
        self._scanner = EventScanner()
        self._remaining_bytes: int | None = None
        self._held = b""
        self._started = False
        self._ended = False
        self._fault: Fault | None = None
        self._sink_error: BaseException | None = None
        self.timer: IdleTimer | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Validate the head and forward it."""
        if not isinstance(start_line, ResponseStartLine):
            raise InvariantError("a target's response began with a request line")
        kind = status_kind(start_line.code)
        if kind is StatusKind.INVALID:
            self.fail(RefusalCode.RESPONSE_BROKEN, f"invalid status {start_line.code}")
        if kind is not StatusKind.FINAL:
            return None
        has_body = start_line.code not in NO_BODY_STATUSES and self._call.method != "HEAD"
        fault = self._read_length(headers, has_body) or self._validator.check_head(
            ResponseHeadInfo(
                headers.get("Content-Type", ""),
                headers.get(REQUEST_ID_HEADER),
                not has_body or self._remaining_bytes is not None or _is_chunked(headers),
            )
        )
        if fault is not None:
            self.fail(RefusalCode.RESPONSE_BROKEN, fault)
            return None
        self._validator.is_stream = self._validator.is_stream and has_body
        forwarded = response_headers(tuple(headers.get_all()))
        if self._call.target is None:
            raise InvariantError("a call was sent without a target")
        return self._forward(ResponseHead(start_line.code, forwarded, self._call.target))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Validate a piece of the body and forward what is known to be valid."""
        if self.timer is not None:
            self.timer.note_progress()
            self.timer.start_waiting()
        if self._fault is not None:
            return None
        if self._validator.is_stream:
            return self._forward_events(chunk)
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(chunk)
            if self._remaining_bytes <= 0:
                self._held = chunk
                return None
        return self._forward(ResponseChunk(chunk))

    def finish(self) -> None:
        """Validate the end of a body that is complete according to its HTTP framing."""
        self._ended = True
        last = self._scanner.close()
        if last is not None:
            self._accept_event(last)
        fault = self._validator.check_end()
        if fault is not None:
            self.fail(RefusalCode.RESPONSE_BROKEN, fault)

    def on_connection_close(self) -> None:
        """Do nothing: the response stays incomplete, which `conclude` reports."""

    def fail(self, code: RefusalCode, text: str) -> None:
        """Abandon the response. Only the first fault is reported."""
        if self._fault is None:
            self._fault = Fault(code, text)
        self._stream.close()

    def connection_closed(self) -> None:
        """Fail the response because the target closed the connection too early."""
        if self._started:
            self.fail(RefusalCode.RESPONSE_BROKEN, RESPONSE_TRUNCATED)
        else:
            self.fail(RefusalCode.TARGET_UNREACHABLE, NO_RESPONSE)

    async def conclude(self) -> Completion:
        """Forward what was held back if the response is complete. Return how the call ended.

        Raise `CallerDisconnected` if the caller has disconnected.
        """
        if self._sink_error is not None:
            raise self._sink_error
        if self._fault is None and not self._ended:
            self.connection_closed()
        if self._fault is None and _has_more(self._stream):
            self.fail(RefusalCode.RESPONSE_BROKEN, "the response continues after its end")
        if self._fault is not None:
            refusal = Refusal(self._fault.code, self._fault.text, RunState.UNKNOWN)
            return Completion(self._started, refusal)
        if self._held:
            await self._sink.write(ResponseChunk(self._held))
        await self._sink.write(ResponseEnd())
        return Completion(started=True)

    def _read_length(self, headers: HTTPHeaders, has_body: bool) -> str | None:
        text = headers.get("Content-Length")
        if text is None:
            return None
        length = parse_digits(text)
        if length is None:
            return f"invalid Content-Length {text[:MAX_DIGITS]!r}"
        if has_body:
            self._remaining_bytes = length
        return None

    async def _forward_events(self, data: bytes) -> None:
        try:
            events = self._scanner.feed(data)
        except EventTooLong:
            self.fail(RefusalCode.RESPONSE_BROKEN, "an event of the stream is too long")
            return
        accepted = [event.raw for event in events if self._accept_event(event)]
        if accepted:
            await self._forward(ResponseChunk(b"".join(accepted), self._validator.last_number))

    def _accept_event(self, event: StreamEvent) -> bool:
        """Return whether to forward `event` now. Hold back the end mark and what follows it."""
        if self._fault is not None:
            return False
        fault = None
        if event.info is not None:
            fault = self._validator.check_event(event.info)
        elif self._validator.has_ended and event.raw.strip():
            fault = "the stream continues after its end mark"
        if fault is not None:
            self.fail(RefusalCode.RESPONSE_BROKEN, fault)
            return False
        if self._validator.has_ended:
            self._held += event.raw
            return False
        return True

    async def _forward(self, part: ResponsePart) -> None:
        if self._sink_error is not None:
            return
        self._started = True
        if self.timer is not None:
            self.timer.note_progress()
        try:
            await self._sink.write(part)
        except CallerDisconnected as exc:
            self._sink_error = exc
            self._stream.close()
        if self.timer is not None:
            self.timer.start_waiting()


def _is_chunked(headers: HTTPHeaders) -> bool:
    return headers.get("Transfer-Encoding", "").lower() == "chunked"


def _has_more(stream: IOStream) -> bool:
    try:
        fut = cast("asyncio.Future[bytes]", stream.read_bytes(1, partial=True))
    except StreamClosedError:
        return False
    return fut.done() and fut.exception() is None
