"""Whether an answer is whole and belongs to its request."""

import re
from dataclasses import dataclass, field

from almondspindle.core.identifiers import REQUEST_ID_BYTES, RequestId

EVENT_STREAM = "text/event-stream"
FIRST_EVENT_NUMBERS = frozenset({0, 1})  # engines count their events from either
# An id that ends in the form of our request ids names a request. Any other id is the engine's own
# and need only stay the same through the stream.
REQUEST_ID_SUFFIX = re.compile(rf"(?:^|[-_:])([0-9a-f]{{{2 * REQUEST_ID_BYTES}}})$")


@dataclass(frozen=True, slots=True)
class ResponseHeadInfo:
    """What the head of an answer says of the answer.

    `has_length` tells whether HTTP marks the end of the body, by a length or by chunks.
    """

    content_type: str
    request_id: str | None
    has_length: bool


@dataclass(frozen=True, slots=True)
class EventInfo:
    """What one event of a stream says of itself.

    `number` is the event's place in the stream and `answer_id` the id of the answer it is part of;
    both are None where the engine gives none.
    """

    number: int | None = None
    response_id: str | None = None
    is_end: bool = False


@dataclass(slots=True)
class ResponseValidator:
    """Follow an answer and tell what is wrong with it, if anything.

    `resume_after` is the number of the last event that was passed on before, for an answer that
    resumes a stream.
    """

    request_id: RequestId
    resume_after: int | None = None
    is_stream: bool = False
    has_ended: bool = False
    last_number: int | None = field(init=False)
    _response_id: str | None = None

    def __post_init__(self) -> None:
        """Begin to count after the event that was passed on last."""
        self.last_number = self.resume_after

    def check_head(self, facts: ResponseHeadInfo) -> str | None:
        """Return what is wrong with the head of the answer, or None."""
        self.is_stream = facts.content_type.startswith(EVENT_STREAM)
        if facts.request_id is not None and facts.request_id != self.request_id:
            return f"the answer belongs to request {facts.request_id}"
        if not facts.has_length and not self.is_stream:
            return "the answer has neither a length nor an end mark"
        return None

    def check_event(self, mark: EventInfo) -> str | None:
        """Follow the next event of a stream; return what is wrong with it, or None."""
        if self.has_ended:
            return "the stream goes on after its end mark"
        if mark.is_end:
            self.has_ended = True
            return None
        return self._check_id(mark.response_id) or self._check_number(mark.number)

    def check_end(self) -> str | None:
        """Return what is wrong with the whole answer, or None."""
        if self.is_stream and not self.has_ended:
            return "the stream ended without its end mark"
        return None

    def _check_id(self, answer_id: str | None) -> str | None:
        if answer_id is None or answer_id == self._response_id:
            return None
        named = REQUEST_ID_SUFFIX.search(answer_id)
        if self._response_id is not None or (named and named.group(1) != self.request_id):
            return f"an event belongs to answer {answer_id}"
        self._response_id = answer_id
        return None

    def _check_number(self, number: int | None) -> str | None:
        last = self.last_number
        if number is None:
            return None if last is None else f"an event after number {last} has no number"
        if last is None and number not in FIRST_EVENT_NUMBERS:
            return f"the stream begins with event {number}"
        if last is not None and number <= last:
            return f"event {number} came again after event {last}"
        if last is not None and number > last + 1:
            return f"event {number} came next after event {last}"
        self.last_number = number
        return None
