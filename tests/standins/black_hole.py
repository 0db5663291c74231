"""A TCP forwarder that can stop forwarding on its open connections while new ones work."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024


@dataclass
class BlackHole:
    """Forward connections to `upstream` ("ip:port") until a test makes it drop their data.

    Connections whose data is dropped stay open, so that neither end notices by a reset.
    """

    upstream: str
    address: str = ""
    connections: int = 0
    is_cut: bool = False
    _generation: int = 0
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def __aenter__(self) -> "BlackHole":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def drop_data(self) -> None:
        """Drop all further data on the connections that are open now."""
        self._generation += 1

    def cut(self) -> None:
        """Drop all further data, also on connections that are opened later."""
        self.is_cut = True
        self.drop_data()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        if self.is_cut:
            await asyncio.Event().wait()
        host, _, port = self.upstream.rpartition(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        generation = self._generation
        try:
            await asyncio.gather(
                self._forward(reader, up_writer, generation),
                self._forward(up_reader, writer, generation),
            )
        finally:
            writer.close()
            up_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if self._generation != generation:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            if self._generation != generation:
                await asyncio.Event().wait()
            writer.close()
