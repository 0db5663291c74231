"""A target that responds with bytes given by a test, which may be malformed."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

REQUEST_ID = b"{id}"


@dataclass
class ScriptedResponse:
    """The bytes to send, one item per write. `{id}` is replaced by the request's id."""

    writes: list[bytes]
    keep_open: bool = False


@dataclass
class RawTarget:
    """The running stand-in.

    `request_received` is set by a request, and `disconnected` by the end of a connection that is
    kept open.
    """

    response: ScriptedResponse
    address: str = ""
    requests: list[bytes] = field(default_factory=list)
    request_received: asyncio.Event = field(default_factory=asyncio.Event)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)

    async def __aenter__(self) -> "RawTarget":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            self.requests.append(head + await reader.readexactly(int(fields[b"Content-Length"])))
            self.request_received.set()
            for data in self.response.writes:
                writer.write(data.replace(REQUEST_ID, fields[b"X-Request-Id"]))
                await writer.drain()
            if self.response.keep_open:
                await reader.read()
                self.disconnected.set()
        writer.close()
