"""HTTP server for peers, the platform's readiness checks, and metrics; not for callers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from almondspindle.core.events import PEER_RESPONSE_STALLED
from almondspindle.core.logs import emit
from almondspindle.decisions.bulk_transfers import DEFAULT_LIMIT_BYTES, may_send_bulk
from almondspindle.utils.addresses import split_address

# A peer that receives nothing for this time has given up on the response.
SEND_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response, sent in one piece."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Responder = Callable[[str], Awaitable[Reply]]
NOT_FOUND = Reply(404, b"unknown path\n")
BUSY = Reply(503, b"too many large responses are being sent\n")


class InternalHttpServer:
    """Pass each request to the responder with the longest prefix that matches the path.

    The responder gets the rest of the path after its prefix. A path without a responder gets
    status 404. The request's method is not checked. Large responses get status 503 while more than
    `bulk_limit_bytes` of them are being sent.
    """

    def __init__(
        self, responders: Mapping[str, Responder], bulk_limit_bytes: int = DEFAULT_LIMIT_BYTES
    ) -> None:
        self._responders = dict(sorted(responders.items(), key=lambda item: -len(item[0])))
        self._bulk_limit_bytes = bulk_limit_bytes
        self._bytes_in_flight = 0
        self._server = HTTPServer(self._on_request)
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: str) -> None:
        """Accept connections at `address` ("ip:port")."""
        host, port = split_address(address)
        self._server.listen(port, host)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def _on_request(self, request: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._respond(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, request: HTTPServerRequest) -> None:
        reply = NOT_FOUND
        for prefix, responder in self._responders.items():
            if request.path.startswith(prefix):
                reply = await responder(request.path.removeprefix(prefix))
                break
        if not may_send_bulk(len(reply.body), self._bytes_in_flight, self._bulk_limit_bytes):
            reply = BUSY
        self._bytes_in_flight += len(reply.body)
        try:
            await self._send(request, reply)
        finally:
            self._bytes_in_flight -= len(reply.body)

    async def _send(self, request: HTTPServerRequest, reply: Reply) -> None:
        headers = HTTPHeaders(
            {"Content-Type": reply.content_type, "Content-Length": str(len(reply.body))}
        )
        conn = request.connection
        if conn is None:
            return
        start_line = ResponseStartLine("HTTP/1.1", reply.status, "")
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await conn.write_headers(start_line, headers, reply.body)
            conn.finish()
        except StreamClosedError:
            return  # The client has disconnected.
        except TimeoutError:
            emit(PEER_RESPONSE_STALLED, path=request.path, bytes=len(reply.body))
            if isinstance(conn, HTTP1Connection):
                conn.close()
