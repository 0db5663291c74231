"""Whether an answer is whole and belongs to its request."""

from dataclasses import dataclass

from almondspindle.core.identifiers import RequestId

EVENT_STREAM = "text/event-stream"
END_MARK = b"data: [DONE]"
TAIL_BYTES = 64


@dataclass(slots=True)
class AnswerCheck:
    """Follow an answer and tell what is wrong with it, if anything."""

    request_id: RequestId
    needs_end_mark: bool = False
    tail: bytes = b""

    def head(self, content_type: str, answered_id: str | None) -> str | None:
        """Return what is wrong with the head of the answer, or None."""
        self.needs_end_mark = content_type.startswith(EVENT_STREAM)
        if answered_id is not None and answered_id != self.request_id:
            return f"the answer belongs to request {answered_id}"
        return None

    def chunk(self, data: bytes) -> None:
        """Follow the next piece of the body."""
        self.tail = (self.tail + data)[-TAIL_BYTES:]

    def end(self) -> str | None:
        """Return what is wrong with the whole answer, or None."""
        if self.needs_end_mark and not self.tail.rstrip().endswith(END_MARK):
            return "the stream ended without its end mark"
        return None
