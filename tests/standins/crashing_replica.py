"""A replica that crashes while it responds to a certain prompt part or body."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.utils.sockets import reset_connection
from tests.standins.replica import Behaviour, ReceivedRequest, Replica, stream_head

# Until a crash, so that what was written before it is received.
CRASH_DELAY_S = 0.05


def prompt_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts of the request's prompt."""
    entries = request.headers.get("x-prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


@dataclass
class CrashingReplica(Replica):
    """A replica that closes its listener and all connections at the first fatal request.

    Fatal are requests with `fatal_part` in the prompt, whose response's head is written first, and
    those with the body `fatal_body`; `begin_fatal` returns what is written in place of that. The
    connections are reset, or closed if `closes` is set. Other requests get the response of
    `behaviour`.
    """

    fatal_part: str = ""
    fatal_body: bytes | None = None
    has_crashed: bool = False

    def __init__(
        self,
        behaviour: Behaviour,
        fatal_part: str = "",
        fatal_body: bytes | None = None,
        begin_fatal: Callable[[ReceivedRequest], bytes] | None = None,
        closes: bool = False,
    ) -> None:
        super().__init__(behaviour)
        self.begin_fatal = begin_fatal
        self.closes = closes
        self.fatal_part = fatal_part
        self.fatal_body = fatal_body
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
        has_fatal_part = bool(self.fatal_part) and self.fatal_part in prompt_parts(request)
        if not has_fatal_part and request.body != self.fatal_body:
            return await super()._respond(script, reader, writer)
        if self.begin_fatal is not None:
            writer.write(self.begin_fatal(request))
            await writer.drain()
            await asyncio.sleep(CRASH_DELAY_S)
        elif has_fatal_part:
            writer.write(stream_head(request))
            await writer.drain()
        self.crash()
        raise ConnectionError

    def crash(self) -> None:
        """Stop listening, and reset all connections."""
        self.has_crashed = True
        self._server.close()
        for writer in self._writers:
            if self.closes:
                writer.close()
            else:
                reset_connection(writer.transport)
