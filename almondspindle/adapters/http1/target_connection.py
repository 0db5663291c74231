"""One connection to a target. It carries one request at a time and tells of the answer's parts."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

import httptools

from almondspindle.core.calls import Headers
from almondspindle.utils.sockets import reset_connection

MAX_HEAD_BYTES = 64 * 1024
MAX_PENDING_BYTES = 256 * 1024  # parts that wait for a slow caller before reading pauses
FIRST_FINAL_STATUS = 200
CLOSED_EARLY = "the connection closed before the answer was whole"


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of the answer. `length` is the body's length, None where there is none given."""

    status: int
    headers: Headers
    length: int | None
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """A piece of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """The answer has ended as HTTP says it should."""


@dataclass(frozen=True, slots=True)
class ResponseBroken:
    """The answer can't be finished."""

    reason: str


ParsedPart = HeadReceived | BodyReceived | ResponseComplete | ResponseBroken


class TargetConnection(asyncio.Protocol):
    """Parse answers into parts. A byte that no request asked for makes the connection dead."""

    def __init__(self) -> None:
        self.is_unusable = False
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.responses = 0
        self._transport: Any = None
        self._parts: deque[ParsedPart] = deque()
        self._pending_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._parser: Any = None
        self._is_busy = False
        self._is_paused = False
        self._ends_at_close = False
        self._is_head_request = False
        self._headers: list[tuple[str, str]] = []

    def connection_made(self, transport: Any) -> None:
        """Keep the transport. Called by asyncio."""
        self._transport = transport

    def send(self, data: bytes, is_head_request: bool) -> None:
        """Send one whole request; its answer's parts come from `next_part`."""
        self._parts.clear()
        self._pending_bytes = 0
        self._is_busy = True
        self._ends_at_close = False
        self._is_head_request = is_head_request
        self._headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    async def next_part(self) -> ParsedPart:
        """Return the next part of the answer; nothing comes after its end."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, BodyReceived):
            self._pending_bytes -= len(part.data)
            if self._is_paused and self._pending_bytes < MAX_PENDING_BYTES // 2:
                self._is_paused = False
                self._transport.resume_reading()
        return part

    @property
    def has_sent_all(self) -> bool:
        """Return whether every byte of the request has left this process."""
        return not self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Reset the connection; the target stops work on its request.

        A plain close would go on to send what the network holds up, and a request that was given up
        could reach its target seconds later.
        """
        self.is_unusable = True
        if self._transport is not None:
            reset_connection(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer. Called by asyncio."""
        if not self._is_busy:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if self._is_busy:
                self._finish(ResponseBroken(f"not valid HTTP: {exc}"))
            self.close()

    def eof_received(self) -> bool:
        """End an answer that has no length. Called by asyncio."""
        if self._is_busy and self._ends_at_close:
            self._finish(ResponseComplete())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone. Called by asyncio."""
        self.is_unusable = True
        if self._is_busy:
            self._finish(
                ResponseBroken(CLOSED_EARLY if exc is None else f"{CLOSED_EARLY}: {exc!r}")
            )

    # What follows is called by the parser.

    def on_message_begin(self) -> None:
        """Refuse a second answer behind the one that was asked for."""
        if not self._is_busy:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Tell of the head; skip heads of answers that are not final."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        if not self._is_busy or status < FIRST_FINAL_STATUS:
            return
        found = {name.lower(): value for name, value in headers}
        length = found.get("content-length")
        is_chunked = "transfer-encoding" in found
        has_body = not self._is_head_request and status not in (204, 304)
        self._ends_at_close = has_body and length is None and not is_chunked
        keeps_open = self._parser.should_keep_alive() and not self._ends_at_close
        size = int(length) if length is not None and has_body else (None if has_body else 0)
        self._add_part(HeadReceived(status, headers, size, keeps_open))
        if self._is_head_request:
            self._finish(ResponseComplete())
            self.is_unusable = True

    def on_body(self, data: bytes) -> None:
        """Tell of a piece of the body; stop reading while too much waits."""
        if not self._is_busy:
            return
        self._pending_bytes += len(data)
        self._add_part(BodyReceived(data))
        if self._pending_bytes > MAX_PENDING_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Tell of the end of a final answer."""
        if not self._is_busy or self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        self._finish(ResponseComplete())

    def _add_part(self, part: ParsedPart) -> None:
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _finish(self, part: ParsedPart) -> None:
        self._is_busy = False
        self.responses += 1
        self._add_part(part)
