"""Write a response to a caller's connection."""

from functools import singledispatchmethod
from http import HTTPStatus

from almondspindle.adapters.http1.base import encode_head
from almondspindle.adapters.http1.caller_connection import CallerConnection, RequestReceived
from almondspindle.core.calls import (
    CallerDisconnected,
    Headers,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
)
from almondspindle.core.outcomes import InvariantError

NO_BODY_STATUSES = frozenset({204, 304})
LAST_CHUNK = b"0\r\n\r\n"


class HttpSink:
    """Write the parts of one response.

    `closes_connection` is set if the connection closes after this response. `length` counts the
    body's bytes, also those of a response to HEAD.
    """

    def __init__(self, connection: CallerConnection, request: RequestReceived) -> None:
        self._connection = connection
        self._request = request
        self._is_chunked = False
        self._omits_body = request.method == "HEAD"
        self.closes_connection = False
        self.status = 0
        self.length = 0

    async def write(self, part: ResponsePart) -> None:
        """Write `part`. Raise `CallerDisconnected` if the caller has closed its connection."""
        if self._connection.is_closed:
            raise CallerDisconnected
        data = self._encode(part)
        if data:
            self._connection.transport.write(data)
            await self._connection.drain()

    def is_last(self) -> bool:
        """Return whether a response that begins now is the last one on its connection."""
        return self._connection.is_last(self._request)

    @singledispatchmethod
    def _encode(self, part: object) -> bytes:
        raise InvariantError(f"unexpected response part {type(part).__name__}")

    @_encode.register
    def _(self, part: ResponseHead) -> bytes:
        self.status = part.status
        has_body = part.status not in NO_BODY_STATUSES
        self._omits_body = self._omits_body or not has_body
        framing: Headers = ()
        if part.length is not None and has_body:
            framing = (("Content-Length", str(part.length)),)
        elif has_body and not self._request.is_http_1_0:
            self._is_chunked = True
            framing = (("Transfer-Encoding", "chunked"),)
        else:
            self.closes_connection = has_body
        self.closes_connection = self.closes_connection or self.is_last()
        if self.closes_connection:
            framing = (*framing, ("Connection", "close"))
        return encode_head(
            f"HTTP/1.1 {part.status} {reason_phrase(part.status)}", (*part.headers, *framing)
        )

    @_encode.register
    def _(self, part: ResponseChunk) -> bytes:
        self.length += len(part.data)
        if self._omits_body or not part.data:
            return b""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(part.data), part.data)
        return part.data

    @_encode.register
    def _(self, part: ResponseEnd) -> bytes:
        return LAST_CHUNK if self._is_chunked and not self._omits_body else b""


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase for `status`, or an empty string."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
