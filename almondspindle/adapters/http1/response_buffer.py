"""An answer on its way from targets to a caller."""

from dataclasses import dataclass, field, replace

from almondspindle.adapters.target.events import EventScanner
from almondspindle.core.calls import ResponseChunk, ResponseHead, ResponseSink


@dataclass(slots=True)
class ResponseBuffer:
    """What of an answer was passed on to `sink`, and what is held back.

    Everything but a stream of events is held back until it is whole, so that another target may
    be asked when it breaks. `last_event` is the number of the last event that the caller has.
    """

    sink: ResponseSink
    last_event: int | None = None
    started: bool = False
    head: ResponseHead | None = None
    buffered: bytearray = field(default_factory=bytearray)
    scanner: EventScanner = field(default_factory=EventScanner)
    is_stream: bool = False

    def begin(self, head: ResponseHead, is_stream: bool) -> None:
        """Note the head of a target's answer, in place of an earlier target's."""
        if not self.started:
            self.head = head
        self.is_stream = is_stream
        self.buffered.clear()
        self.scanner = EventScanner()

    async def feed(self, data: bytes) -> str | None:
        """Take a piece of the body; return what is wrong with it, or None."""
        if not self.is_stream:
            self.buffered += data
            return None
        whole = []
        for event in self.scanner.feed(data):
            number = event.info.number if event.info else None
            if number is not None:
                if self.last_event is not None and number != self.last_event + 1:
                    return f"event {number} came next after event {self.last_event}"
                self.last_event = number
            whole.append(event.raw)
        if whole:
            await self._forward(b"".join(whole))
        return None

    async def flush(self) -> None:
        """Pass on what is held back."""
        rest = bytes(self.buffered)
        self.buffered.clear()
        if not self.is_stream and self.head is not None:
            self.head = replace(self.head, length=len(rest))
        await self._forward(rest)

    async def _forward(self, data: bytes) -> None:
        if not self.started and self.head is not None:
            self.started = True
            await self.sink.write(self.head)
        if data:
            await self.sink.write(ResponseChunk(data, self.last_event))
