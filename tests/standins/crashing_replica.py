"""A replica that crashes when it begins to respond to a certain prompt part."""

import asyncio
from dataclasses import dataclass

from almondspindle.utils.sockets import reset_connection
from tests.standins.replica import Behaviour, ReceivedRequest, Replica, stream_head


def prompt_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts of the request's prompt."""
    entries = request.headers.get("x-prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


@dataclass
class CrashingReplica(Replica):
    """A replica that closes its listener and all connections at the first fatal request.

    It writes the head of that response first. Other requests get the response of `behaviour`.
    """

    fatal_part: str = ""
    has_crashed: bool = False

    def __init__(self, behaviour: Behaviour, fatal_part: str) -> None:
        super().__init__(behaviour)
        self.fatal_part = fatal_part
        self.has_crashed = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _respond(self, script, reader, writer) -> bool:
        request = self.requests[-1]
        if self.fatal_part not in prompt_parts(request):
            return await super()._respond(script, reader, writer)
        writer.write(stream_head(request))
        await writer.drain()
        self.crash()
        raise ConnectionError

    def crash(self) -> None:
        """Stop listening, and reset all connections."""
        self.has_crashed = True
        self._server.close()
        for writer in self._writers:
            reset_connection(writer.transport)
