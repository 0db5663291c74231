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
class HeadCame:
    """The head of the answer. `length` is the body's length, None where there is none given."""

    status: int
    headers: Headers
    length: int | None
    keeps_open: bool


@dataclass(frozen=True, slots=True)
class BodyCame:
    """A piece of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerWhole:
    """The answer has ended as HTTP says it should."""


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The answer can't be finished."""

    reason: str


Part = HeadCame | BodyCame | AnswerWhole | AnswerBroken


class TargetConnection(asyncio.Protocol):
    """Parse answers into parts. A byte that no request asked for makes the connection dead."""

    def __init__(self) -> None:
        self.is_dead = False
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.answers = 0
        self._transport: Any = None
        self._parts: deque[Part] = deque()
        self._pending_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._parser: Any = None
        self._is_busy = False
        self._is_paused = False
        self._is_unframed = False
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
        self._is_unframed = False
        self._is_head_request = is_head_request
        self._headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    async def next_part(self) -> Part:
        """Return the next part of the answer; nothing comes after its end."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, BodyCame):
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
        self.is_dead = True
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
                self._end(AnswerBroken(f"not valid HTTP: {exc}"))
            self.close()

    def eof_received(self) -> bool:
        """End an answer that has no length. Called by asyncio."""
        if self._is_busy and self._is_unframed:
            self._end(AnswerWhole())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone. Called by asyncio."""
        self.is_dead = True
        if self._is_busy:
            self._end(AnswerBroken(CLOSED_EARLY if exc is None else f"{CLOSED_EARLY}: {exc!r}"))

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
        self._is_unframed = has_body and length is None and not is_chunked
        keeps_open = self._parser.should_keep_alive() and not self._is_unframed
        size = int(length) if length is not None and has_body else (None if has_body else 0)
        self._put(HeadCame(status, headers, size, keeps_open))
        if self._is_head_request:
            self._end(AnswerWhole())
            self.is_dead = True

    def on_body(self, data: bytes) -> None:
        """Tell of a piece of the body; stop reading while too much waits."""
        if not self._is_busy:
            return
        self._pending_bytes += len(data)
        self._put(BodyCame(data))
        if self._pending_bytes > MAX_PENDING_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Tell of the end of a final answer."""
        if not self._is_busy or self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        self._end(AnswerWhole())

    def _put(self, part: Part) -> None:
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end(self, part: Part) -> None:
        self._is_busy = False
        self.answers += 1
        self._put(part)
