"""A TCP proxy that counts the bytes between a client and a server."""

import asyncio
from contextlib import suppress


class ByteCounter:
    """Forward TCP connections to `target` ("ip:port") and count the bytes of both directions."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._count = 0
        self.address = ""

    async def __aenter__(self) -> "ByteCounter":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    def read_and_reset(self) -> int:
        """Return the number of bytes since the last call, and reset the counter."""
        count, self._count = self._count, 0
        return count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
        with suppress(ConnectionError):
            await asyncio.gather(
                self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
            )

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(65536):
                self._count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
