"""Sinks that collect the parts of a response."""

import asyncio
from dataclasses import dataclass, field

from almondspindle.core.calls import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart


@dataclass
class ListSink:
    """Collect every part."""

    parts: list[ResponsePart] = field(default_factory=list)

    async def write(self, part: ResponsePart) -> None:
        """Append `part`."""
        self.parts.append(part)

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(part.data for part in self.parts if isinstance(part, ResponseChunk))

    @property
    def heads(self) -> list[ResponseHead]:
        """Return the heads received so far."""
        return [part for part in self.parts if isinstance(part, ResponseHead)]

    @property
    def is_ended(self) -> bool:
        """Return whether exactly one end mark was received, as the last part."""
        ends = [part for part in self.parts if isinstance(part, ResponseEnd)]
        return len(ends) == 1 and self.parts[-1] is ends[0]


@dataclass
class BlockingSink(ListSink):
    """Collect every part, but block each write of a body chunk until `unblocked` is set."""

    unblocked: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(self, part: ResponsePart) -> None:
        """Append `part`; if it is a body chunk, wait for `unblocked`."""
        await super().write(part)
        if isinstance(part, ResponseChunk):
            await self.unblocked.wait()
