"""Sinks that keep what an answer is made of."""

import asyncio
from dataclasses import dataclass, field

from almondspindle.core.calls import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart


@dataclass
class ListSink:
    """Keep every part."""

    parts: list[ResponsePart] = field(default_factory=list)

    async def write(self, part: ResponsePart) -> None:
        """Keep `part`."""
        self.parts.append(part)

    @property
    def body(self) -> bytes:
        """Return the body that was passed on."""
        return b"".join(part.data for part in self.parts if isinstance(part, ResponseChunk))

    @property
    def heads(self) -> list[ResponseHead]:
        """Return the heads that were passed on."""
        return [part for part in self.parts if isinstance(part, ResponseHead)]

    @property
    def is_ended(self) -> bool:
        """Return whether the end mark was passed on, as the last part and once."""
        ends = [part for part in self.parts if isinstance(part, ResponseEnd)]
        return len(ends) == 1 and self.parts[-1] is ends[0]


@dataclass
class StuckSink(ListSink):
    """Let no piece of the body through until `open` is set."""

    open: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(self, part: ResponsePart) -> None:
        """Keep `part`; wait for `open` at a piece of the body."""
        await super().write(part)
        if isinstance(part, ResponseChunk):
            await self.open.wait()
