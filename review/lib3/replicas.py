"""A stand-in for the replicas of a service, as PROTOCOL.md describes them."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from review.lib3.http import Message, encode, read_message
from review.lib3.record import Record
from review.lib3.store import Store

HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 10

# Answers a request instead of the replica. Returns the answer's bytes, or None to let it answer.
Override = Callable[["Replica", Message], Awaitable[bytes | None]]


class Replica:
    """One replica: a server that runs requests, and its entry in the store."""

    def __init__(self, record: Record, store: Store, name: str, service: str, zone: str) -> None:
        self._record = record
        self._store = store
        self.name, self.service, self.zone = name, service, zone
        self.state = "ready"
        self.work_s = 0.015
        self.slots = 16
        self.reaches_store = True
        self.override: Override | None = None
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._port = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address of the replica."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen, and write the entry every `HEARTBEAT_S` seconds from now on."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    async def stop(self, removes_entry: bool = True) -> None:
        """End the replica: no more status reports, no listener, no channels."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if removes_entry:
            self._store.delete("servers", self.name)

    def report(self) -> int:
        """Write the entry now; return the store's revision."""
        self._seq += 1
        if self.reaches_store:
            self._store.beat(self.name, self.entry())
        return self._store.revision

    def entry(self) -> dict:
        """Return the entry as it is now."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                writer.write(await self._answer(message))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, message: Message) -> bytes:
        request_id = message.headers.get("x-request-id", "")
        fields = {"X-Request-Id": request_id, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        self._note("reaches", request_id, message)
        expected = message.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            self._note("misdirected", request_id, message)
            fields["X-Instance"] = self.name
            return encode("HTTP/1.1 421 Misdirected Request", fields)
        if self.override is not None:
            answer = await self.override(self, message)
            if answer is not None:
                return answer
        self._note("runs", request_id, message)
        await asyncio.sleep(self.work_s)
        stamp = f"{self.name}.{request_id}"
        fields |= {"X-Response-Stamp": stamp, "Content-Type": "text/plain"}
        return encode("HTTP/1.1 200 OK", fields, f"{request_id} at {self.name}\n".encode() * 20)

    def _note(self, what: str, request_id: str, message: Message) -> None:
        self._record.add(
            what,
            id=request_id,
            replica=self.name,
            service=self.service,
            zone=self.zone,
            tenant=message.headers.get("x-tenant"),
        )
