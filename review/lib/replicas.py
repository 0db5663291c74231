"""A stand-in for replicas, as PROTOCOL.md describes a sound one."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Received:
    """A request as it reached a replica. `at` is in seconds on the monotonic clock."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.headers.get("x-request-id", "")


@dataclass
class Replica:
    """One replica. `work` gives the seconds of work of a request, `events` those of a stream."""

    name: str
    service: str
    zone: str
    work: Callable[[Received], float] = lambda request: 0.02
    events: Callable[[Received], int] = lambda request: 0  # 0: an answer with a length
    event_s: float = 0.05
    slots: int = 16
    address: str = ""
    born: int = 0
    leaving: bool = False
    received: list[Received] = field(default_factory=list)
    ran: list[tuple[float, str]] = field(default_factory=list)
    finished: dict[str, str] = field(default_factory=dict)
    on_run: Callable[["Replica", Received], None] = lambda replica, request: None
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port of the loopback range."""
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Exit: close the port and all channels."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self, state: str = "ready", **fields: object) -> dict:
        """Return the entry that the replica registers in the store."""
        return {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": 1,
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": self.born,
            **fields,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await self._read(reader)
                if not await self._answer(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Received:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines[1:-2])}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Received(method, path, headers, body, time.monotonic())

    async def _answer(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        self.received.append(request)
        ids = f"X-Request-Id: {request.id}\r\n"
        if self.leaving:
            ids += "Server-Leaving: 1\r\n"
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\n{ids}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.ran.append((request.at, request.id))
        self.finished[request.id] = "running"
        self.on_run(self, request)
        try:
            await self._run(request, ids, writer)
            self.finished[request.id] = "done"
        finally:
            if self.finished[request.id] == "running":
                self.finished[request.id] = "cut"
        return not self.leaving

    async def _run(self, request: Received, ids: str, writer: asyncio.StreamWriter) -> None:
        close = "Connection: close\r\n" if self.leaving else ""
        stamp = f"X-Response-Stamp: {self.name}.{request.id}\r\n"
        await asyncio.sleep(self.work(request))
        count = self.events(request)
        if not count:
            body = f"{self.name} {request.id}".encode()
            head = f"HTTP/1.1 200 OK\r\n{ids}{stamp}{close}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            return
        kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{ids}{stamp}{close}{kind}\r\n".encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: token {number} of {request.id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
