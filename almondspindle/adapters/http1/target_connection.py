"""A connection to a target. It carries one request at a time and queues the response's parts.

What is read at once, and how soon the next read follows, is bounded by `decisions.read_pacing`.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

import httptools

from almondspindle.core.calls import Headers
from almondspindle.decisions.read_pacing import (
    READ_BYTES,
    PacedReads,
    ReadWork,
    next_read_size,
    pause_s,
)
from almondspindle.decisions.response_bounds import MAX_HEADERS, MAX_OVERHEAD_BYTES
from almondspindle.decisions.responses import StatusKind, status_kind
from almondspindle.utils.sockets import reset_connection

MAX_PENDING_BYTES = 256 * 1024  # unread body bytes above which reading pauses, for a slow caller
CLOSED_EARLY = "the connection closed before the response was complete"
# All connections read into the same buffer, as each parses what it has read at once.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of the response. `length` is the body's length in bytes, None if not stated.

    `ends_at_close` is set if the body has neither a length nor chunks, so that only the end of the
    connection ends it.
    """

    status: int
    headers: Headers
    length: int | None
    keep_alive: bool
    ends_at_close: bool


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """A piece of the body: what one read had of it, in however many chunks."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """The response is complete according to its HTTP framing."""


@dataclass(frozen=True, slots=True)
class ResponseBroken:
    """The response is truncated or malformed."""

    reason: str


ParsedPart = HeadReceived | BodyReceived | ResponseComplete | ResponseBroken


class TargetConnection(asyncio.BufferedProtocol):
    """Parse responses into parts.

    Bytes received while no request is in flight make the connection unusable: they could be taken
    for the response to the next request.
    """

    def __init__(self, paced_reads: PacedReads) -> None:
        self._paced_reads = paced_reads
        self.is_unusable = False
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.responses = 0
        self._transport: Any = None
        self._parts: deque[ParsedPart] = deque()
        self._pending_bytes = 0
        self._overhead_bytes = 0  # received since the last piece of a body
        self._waiter: asyncio.Future[None] | None = None
        self._parser: Any = None
        self._is_busy = False
        self._is_full = False  # whether too many bytes are unread
        self._pause: asyncio.TimerHandle | None = None  # after a costly read
        self._chunks: list[bytes] = []  # of the body, in the current read
        self._last_read = ReadWork()
        self._ends_at_close = False
        self._is_head_request = False
        self._headers: list[tuple[str, str]] = []

    def connection_made(self, transport: Any) -> None:
        """Keep the transport. Called by asyncio."""
        self._transport = transport

    def send(self, data: bytes, is_head_request: bool) -> None:
        """Send one complete request. `next_part` returns the parts of its response."""
        self._parts.clear()
        self._pending_bytes = 0
        self._overhead_bytes = 0
        self._chunks.clear()
        self._is_busy = True
        self._ends_at_close = False
        self._is_head_request = is_head_request
        self._headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    async def next_part(self) -> ParsedPart:
        """Wait for the next part of the response and return it.

        Must not be called again after `ResponseComplete` or `ResponseBroken`.
        """
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, BodyReceived):
            self._pending_bytes -= len(part.data)
            if self._is_full and self._pending_bytes < MAX_PENDING_BYTES // 2:
                self._is_full = False
                self._read_on()
        return part

    def pace(self, events: int) -> None:
        """Pause reading if the last read was costly, in which `events` were found."""
        self._last_read.pieces += events
        delay_s = pause_s(self._last_read, self._paced_reads.paused)
        if not delay_s or self._pause is not None or self.is_unusable:
            return
        self._paced_reads.paused += 1
        self._pause = asyncio.get_running_loop().call_later(delay_s, self._end_pause)
        self._transport.pause_reading()

    def _end_pause(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
            self._paced_reads.paused -= 1
            self._read_on()

    def _read_on(self) -> None:
        if not self._is_full and self._pause is None and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def may_carry_another(self) -> bool:
        """Return whether the next request may be sent on this connection.

        Unsent bytes of the last one would be read by the target as the beginning of the next. While
        reading is paused, it isn't noticed that the target closes the connection.
        """
        has_sent_all = not self._transport.get_write_buffer_size()
        return has_sent_all and self._pause is None and not self.is_unusable

    def close(self) -> None:
        """Reset the connection, so that the target stops work on its request.

        After a plain close the kernel would still send unsent data, and an abandoned request could
        reach its target seconds later.
        """
        self.is_unusable = True
        if self._transport is not None:
            reset_connection(self._transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read. Called by asyncio."""
        return _READ_BUFFER[: next_read_size(self._last_read)]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes. Called by asyncio."""
        self._last_read = ReadWork(nbytes)
        if not self._is_busy:
            self.close()
            return
        self._overhead_bytes += nbytes
        try:
            self._parser.feed_data(_READ_BUFFER[:nbytes])
        except httptools.HttpParserError as exc:
            self._break_off(f"invalid HTTP: {exc}")
            return
        self._add_body()
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            text = f"over {MAX_OVERHEAD_BYTES} bytes received without a piece of the body"
            self._break_off(text)
        elif len(self._headers) > MAX_HEADERS:
            self._break_off(f"over {MAX_HEADERS} headers received")
        else:
            self.pace(0)

    def _break_off(self, reason: str) -> None:
        """Fail the response in progress, if there is one, and close the connection."""
        if self._is_busy:
            self._finish(ResponseBroken(reason))
        self.close()

    def eof_received(self) -> bool:
        """Complete a response that ends when the connection closes. Called by asyncio."""
        if self._is_busy and self._ends_at_close:
            self._finish(ResponseComplete())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response in progress. Called by asyncio."""
        self.is_unusable = True
        self._end_pause()
        self._parser = None  # it refers to this connection, and so to the parts that it holds
        if self._is_busy:
            self._finish(
                ResponseBroken(CLOSED_EARLY if exc is None else f"{CLOSED_EARLY}: {exc!r}")
            )

    # The methods below are callbacks of the parser.

    def on_message_begin(self) -> None:
        """Close the connection if a second response follows the one that was requested."""
        if not self._is_busy:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._last_read.pieces += 1
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Add the head. Skip the heads of interim responses, and break off at an invalid status."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        kind = status_kind(status)
        if kind is StatusKind.INVALID:
            self._break_off(f"invalid status {status}")
        if not self._is_busy or kind is not StatusKind.FINAL:
            return
        by_name = {name.lower(): value for name, value in headers}
        length = by_name.get("content-length")
        is_chunked = "transfer-encoding" in by_name
        has_body = not self._is_head_request and status not in (204, 304)
        self._ends_at_close = has_body and length is None and not is_chunked
        keep_alive = self._parser.should_keep_alive() and not self._ends_at_close
        size = int(length) if length is not None and has_body else (None if has_body else 0)
        self._add_part(HeadReceived(status, headers, size, keep_alive, self._ends_at_close))
        if self._is_head_request:
            self._finish(ResponseComplete())
            # The parser does not know that a response to HEAD has no body, and may wait for one.
            self.is_unusable = True

    def on_body(self, data: bytes) -> None:
        """Add a chunk to the current piece of the body."""
        if self._is_busy:
            self._last_read.pieces += 1
            self._chunks.append(data)

    def _add_body(self) -> None:
        """Add the chunks of the current read. Pause reading while too many bytes are unread."""
        if not self._chunks:
            return
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._pending_bytes += len(data)
        self._overhead_bytes = 0
        self._add_part(BodyReceived(data))
        if self._pending_bytes > MAX_PENDING_BYTES and not self._is_full:
            self._is_full = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Add the end of a final response."""
        kind = status_kind(self._parser.get_status_code())
        if not self._is_busy or kind is not StatusKind.FINAL:
            return
        self._finish(ResponseComplete())

    def _add_part(self, part: ParsedPart) -> None:
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _finish(self, part: ParsedPart) -> None:
        self._add_body()
        self._is_busy = False
        self.responses += 1
        self._add_part(part)
