"""A proxy whose open channels can go silent for good while new ones work."""

import asyncio


class Proxy:
    """Pass bytes between callers and the server at `target`."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set["_Link"] = set()
        self._silent: list["_Link"] = []

    async def start(self, host: str, port: int) -> None:
        """Listen at `host`:`port`."""
        self._server = await asyncio.start_server(self._accept, host, port)

    def silence(self) -> int:
        """Pass nothing more on the channels that are open now; return their number."""
        silent, self._open = self._open, set()
        for link in silent:
            link.silence()
        self._silent.extend(silent)
        return len(silent)

    def close(self) -> None:
        """Close the port and all channels."""
        if self._server is not None:
            self._server.close()
        for link in [*self._open, *self._silent]:
            link.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = _Link(reader, writer)
        self._open.add(link)
        try:
            await link.run(self._target)
        finally:
            self._open.discard(link)


class _Link:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._ends = [writer]
        self._tasks: list[asyncio.Task] = []
        self._is_silent = False

    async def run(self, target: tuple[str, int]) -> None:
        try:
            reader, writer = await asyncio.open_connection(*target)
        except OSError:
            self.close()
            return
        self._ends.append(writer)
        self._tasks = [
            asyncio.create_task(self._pass_on(self._reader, writer)),
            asyncio.create_task(self._pass_on(reader, self._writer)),
        ]
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if not self._is_silent:
            self.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    def silence(self) -> None:
        self._is_silent = True
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        for writer in self._ends:
            writer.transport.abort()
