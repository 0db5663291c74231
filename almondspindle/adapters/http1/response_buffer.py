"""The response of a target on its way to the caller, partly buffered."""

from dataclasses import dataclass, field, replace

from almondspindle.adapters.target.events import EventScanner, StreamEvent
from almondspindle.core.calls import ResponseChunk, ResponseHead, ResponseSink


@dataclass(slots=True)
class ResponseBuffer:
    """Forward a response to `sink`, and buffer the parts that may still be discarded.

    A response other than an event stream is buffered until it is complete, so that the request
    can be retried on another target if the response breaks. `last_event` is the number of the
    last event forwarded. `has_body` tells whether a part of the body was received in the current
    attempt; of a stream, a complete event. `events` counts those of the last piece.
    """

    sink: ResponseSink
    last_event: int | None = None
    started: bool = False
    head: ResponseHead | None = None
    buffered: bytearray = field(default_factory=bytearray)
    scanner: EventScanner = field(default_factory=EventScanner)
    is_stream: bool = False
    has_body: bool = False
    events: int = 0

    @property
    def kept_bytes(self) -> int:
        """Return how many bytes of the response are kept in memory."""
        return len(self.buffered) + self.scanner.pending_bytes

    def begin(self, head: ResponseHead, is_stream: bool) -> None:
        """Begin a target's response, and discard what is buffered of an earlier attempt's."""
        if not self.started:
            self.head = head
        self.is_stream = is_stream
        self.buffered.clear()
        self.scanner = EventScanner()

    async def feed(self, data: bytes) -> str | None:
        """Process a piece of the body. Return a description of its fault, or None."""
        if not self.is_stream:
            self.buffered += data
            self.has_body = self.has_body or bool(data)
            return None
        complete = []
        fault = None
        events = self.scanner.feed(data)
        self.events = len(events)
        for event in events:
            fault = self._find_fault(event)
            if fault is not None:
                break
            if event.info is not None and event.info.number is not None:
                self.last_event = event.info.number
            complete.append(event.raw)
        if complete:
            self.has_body = True
            await self._forward(b"".join(complete))
        return fault

    def _find_fault(self, event: StreamEvent) -> str | None:
        """Return why `event` does not follow the last one, or None."""
        info, last = event.info, self.last_event
        if info is None or info.is_end or last is None:
            return None
        if info.number is None:
            return f"an event without a number received after event {last}"
        if info.number != last + 1:
            return f"event {info.number} received after event {last}"
        return None

    def find_fault_at_end(self, ends_at_close: bool) -> str | None:
        """Return why a body that is complete by its framing is not the whole response, or None.

        A target that goes down closes the connection too. So a stream that ends by that is broken
        if it ends inside an event or has none.
        """
        if self.is_stream and self.scanner.is_inside_event:
            return "the stream ended inside an event"
        if self.is_stream and ends_at_close and not self.has_body:
            return "the connection closed before the first event"
        return None

    async def flush(self) -> None:
        """Forward the head, if it has not been forwarded, and the buffered body."""
        rest, self.buffered = bytes(self.buffered), bytearray()
        if not self.is_stream and self.head is not None:
            self.head = replace(self.head, length=len(rest))
        await self._forward(rest)

    async def _forward(self, data: bytes) -> None:
        if not self.started and self.head is not None:
            self.started = True
            await self.sink.write(self.head)
        if data:
            await self.sink.write(ResponseChunk(data, self.last_event))
