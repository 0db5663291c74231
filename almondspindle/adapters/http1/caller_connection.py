"""A caller's connection: parses its requests in order and queues them for the connection's task."""

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

import httptools

from almondspindle.core.calls import Headers
from almondspindle.core.outcomes import Refusal, RefusalCode
from almondspindle.core.routes import RequestLimits

MAX_PIPELINED = 16  # requests that wait while another one is processed
LINGER_S = 1.0  # time for a caller to close its side after the last response


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A complete request. `keep_alive` is unset if the caller closes after the response."""

    method: str
    path: str
    headers: Headers
    body: bytes
    keep_alive: bool
    is_http_1_0: bool  # HTTP/1.0 has no chunked encoding


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request that is refused unprocessed. The connection closes after the response."""

    refusal: Refusal
    headers: Headers = ()


IncomingRequest = RequestReceived | RequestRefused


class ConnectionOwner(Protocol):
    """The server that owns a connection."""

    limits: RequestLimits
    is_draining: bool

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        ...

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Start the task of a new connection."""
        ...

    def connection_closed(self, connection: "CallerConnection") -> None:
        """End the task of a closed connection."""
        ...


class CallerConnection(asyncio.Protocol):
    """Parse a caller's requests. `requests` is the inbox of the connection's task.

    `waiting_since` is when the connection became idle or the first bytes of a request arrived. The
    server's time-outs are measured from it. `limits` are those in force at that time: a change of
    limits does not concern a request that has begun. `last_request_id` is that of the last request
    processed.
    """

    def __init__(self, owner: ConnectionOwner, now: float) -> None:
        self._owner = owner
        self.transport: Any = None
        self.requests: asyncio.Queue[IncomingRequest] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self.is_closed = False
        self.is_busy = False
        self.last_request_id = ""
        self.waiting_since = now
        self.limits = owner.limits
        self.is_reading_request = False
        self._is_finishing = False
        self._linger: asyncio.TimerHandle | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_refused = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self.has_head = False

    def connection_made(self, transport: Any) -> None:
        """Start serving the connection. Called by asyncio."""
        self.transport = transport
        self._owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a disconnected caller. Called by asyncio."""
        self.is_closed = True
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self._linger is not None:
            self._linger.cancel()
        self._owner.connection_closed(self)
        # Both refer to this connection. What it holds would outlive it until a garbage collection.
        self._parser = None
        self.task = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes. Called by asyncio."""
        if self._is_refused or self._is_finishing:
            return
        if not self.is_reading_request and not self.is_busy:
            self.waiting_since = self._owner.now()
        self.is_reading_request = True
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            self._refuse(RefusalCode.MALFORMED_REQUEST, f"invalid HTTP: {exc}")

    def _parse(self, data: bytes) -> None:
        """Parse `data`, and ignore offers of another protocol (RFC 9110, section 7.8).

        The parser stops after the head of a request with an offer and skips the body. The request
        is parsed again without the offer.
        """
        while not self._is_refused:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                rest = data[exc.args[0] :]
            else:
                return
            if self._parser.get_method() == b"CONNECT":
                self._refuse(RefusalCode.MALFORMED_REQUEST, "CONNECT is not supported")
                return
            data = self._head_without_offer() + rest
            self._parser = httptools.HttpRequestParser(self)
            self._reset()

    def _head_without_offer(self) -> bytes:
        method, version = self._parser.get_method(), self._parser.get_http_version().encode()
        start_line = b"%s %s HTTP/%s\r\n" % (method, self._url, version)
        headers = (
            f"{name}: {value}\r\n" for name, value in self._headers if name.lower() != "upgrade"
        )
        return start_line + "".join(headers).encode("latin-1") + b"\r\n"

    def pause_writing(self) -> None:
        """Make `drain` wait, since the write buffer is full. Called by asyncio."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `drain` return, since the write buffer has room again. Called by asyncio."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._drained is not None:
            await self._drained

    @property
    def is_waiting(self) -> bool:
        """Return whether nothing can be done before more bytes arrive."""
        return not self.is_busy and not self._is_finishing and self.requests.empty()

    def start_waiting(self, now: float) -> None:
        """Wait for the next request, of which a part may have arrived."""
        self.is_busy = False
        self.waiting_since = now
        if not self.is_reading_request:
            self.limits = self._owner.limits

    def is_last(self, request: RequestReceived) -> bool:
        """Return whether the connection closes after the response to `request`.

        While the server drains, that is the response to the last request that has arrived.
        """
        is_followed = self.is_reading_request or not self.requests.empty()
        return not request.keep_alive or (self._owner.is_draining and not is_followed)

    def finish(self) -> None:
        """Close the connection after what is written to it, and after the caller if it is prompt.

        Bytes that arrive until then are read and ignored. A close with unread bytes would reset the
        connection, and the caller might lose the response.
        """
        if self._is_finishing or self.transport.is_closing():
            return
        self._is_finishing = True
        self.transport.write_eof()
        loop = asyncio.get_running_loop()
        self._linger = loop.call_later(LINGER_S, self.transport.close)

    def refuse_unfinished(self, text: str) -> None:
        """Refuse the request of which the head, but not all of the body has arrived."""
        self._refuse(RefusalCode.STOPPING, text)

    # The methods below are callbacks of the parser.

    def on_message_begin(self) -> None:
        """Apply the limits in force to the request that begins."""
        self.limits = self._owner.limits

    def on_url(self, url: bytes) -> None:
        """Append to the path."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._count_header_bytes(len(name) + len(value) + 4)
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.limits.header_bytes:
            text = f"the request head exceeds the limit of {self.limits.header_bytes} bytes"
            self._refuse(RefusalCode.HEADERS_TOO_LARGE, text)

    def on_headers_complete(self) -> None:
        """Refuse an unsupported transfer coding, or a body announced as too large.

        Ask for a body that the caller holds back until 100 Continue, if no request is in process.
        """
        if self._parser.should_upgrade():
            return
        self.has_head = True
        headers = {name.lower(): value for name, value in self._headers}
        coding = headers.get("transfer-encoding")
        if coding is not None and coding.strip().lower() != "chunked":
            self._refuse(RefusalCode.MALFORMED_REQUEST, f"unsupported transfer coding {coding!r}")
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.limits.body_bytes:
            self._refuse_body()
        elif headers.get("expect", "").lower() == "100-continue" and not self.is_busy:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append to the body, or refuse it if it is too large."""
        self._body += data
        if len(self._body) > self.limits.body_bytes:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """Queue the complete request for the connection's task."""
        if self._is_refused or self._parser.should_upgrade():
            return
        self.is_reading_request = False
        request = RequestReceived(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.0",
        )
        self._reset()
        if self.requests.qsize() >= MAX_PIPELINED:
            self._refuse(RefusalCode.MALFORMED_REQUEST, "too many pipelined requests")
            return
        self.requests.put_nowait(request)

    def _refuse_body(self) -> None:
        text = f"the body exceeds the limit of {self.limits.body_bytes} bytes"
        self._refuse(RefusalCode.BODY_TOO_LARGE, text)

    def _refuse(self, code: RefusalCode, text: str) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        self.requests.put_nowait(RequestRefused(Refusal(code, text), tuple(self._headers)))
