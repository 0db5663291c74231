"""A loopback TCP proxy that delays or resets connections or drops their bytes."""

import asyncio
from contextlib import suppress
from enum import StrEnum

from almondspindle.utils.addresses import split_address
from almondspindle.utils.sockets import reset_connection

DELAY_S = 0.3
READ_BYTES = 65536


class ProxyMode(StrEnum):
    """What the proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    DROP_UP = "drop up"  # drop the bytes of the client
    DROP_DOWN = "drop down"  # drop the bytes of the server
    DROP_BOTH = "silent"  # drop the bytes of both sides
    REFUSE = "refuse"  # reset new connections


UP, DOWN = "up", "down"
DROPPED_DIRECTIONS = {
    ProxyMode.DROP_UP: frozenset({UP}),
    ProxyMode.DROP_DOWN: frozenset({DOWN}),
    ProxyMode.DROP_BOTH: frozenset({UP, DOWN}),
}


class Proxy:
    """Forward connections to `address` to `target` ("ip:port").

    A direction that has dropped bytes forwards nothing more, also in a later mode. Otherwise a
    message could arrive with a part missing in the middle, which TCP never delivers.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.mode = ProxyMode.PASS
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Proxy":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        self.reset_all()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.mode is ProxyMode.REFUSE:
            reset_connection(writer.transport)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self.target))
        except OSError:
            reset_connection(writer.transport)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, UP), self._pump(far_reader, writer, DOWN)
            )
        finally:
            self._writers -= {writer, far_writer}
            for each in (writer, far_writer):
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        has_dropped = False
        with suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                has_dropped = has_dropped or direction in DROPPED_DIRECTIONS.get(self.mode, ())
                if not has_dropped:
                    writer.write(data)
                    await writer.drain()
        if not has_dropped:
            writer.close()
