"""Check that a response is complete and belongs to its request."""

import re
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import REQUEST_ID_BYTES, RequestId

EVENT_STREAM = "text/event-stream"
FIRST_EVENT_NUMBERS = frozenset({0, 1})  # engines start numbering at either
# An id that ends in one of our request ids names the request. Any other id is the engine's own; it
# must only stay the same throughout the stream.
REQUEST_ID_SUFFIX = re.compile(rf"(?:^|[-_:])([0-9a-f]{{{2 * REQUEST_ID_BYTES}}})$")


class StatusKind(StrEnum):
    """What a status says about the response."""

    INTERIM = "interim"  # the final response follows
    FINAL = "final"
    INVALID = "invalid"  # no status of a response


SWITCHING_PROTOCOLS = 101
# By the first digit of a status (RFC 9110, section 15). All others are invalid.
STATUS_KINDS = {1: StatusKind.INTERIM} | dict.fromkeys((2, 3, 4, 5), StatusKind.FINAL)


def status_kind(status: int) -> StatusKind:
    """Return what `status` says about the response. Requests offer no other protocol."""
    if status == SWITCHING_PROTOCOLS:
        return StatusKind.INVALID
    return STATUS_KINDS.get(status // 100, StatusKind.INVALID)


@dataclass(frozen=True, slots=True)
class ResponseHeadInfo:
    """The parts of a response head that are checked.

    `request_id` is the request that the head names, None if it names none. `has_length` tells
    whether HTTP marks the end of the body, by a length or by chunked encoding.
    """

    content_type: str
    request_id: str | None
    has_length: bool


@dataclass(frozen=True, slots=True)
class EventInfo:
    """What one event of a stream states about itself.

    `number` is the event's position in the stream and `response_id` the id of the response that it
    belongs to. Both are None if the engine does not set them.
    """

    number: int | None = None
    response_id: str | None = None
    is_end: bool = False


@dataclass(slots=True)
class ResponseValidator:
    """Check the parts of one response in order.

    Each check returns a description of the fault that it found, or None. `resume_after` is set
    for a response that resumes a stream, to the number of the last event forwarded before.
    """

    request_id: RequestId
    resume_after: int | None = None
    is_stream: bool = False
    has_ended: bool = False
    last_number: int | None = field(init=False)
    _response_id: str | None = None

    def __post_init__(self) -> None:
        """Start numbering after the last event forwarded before."""
        self.last_number = self.resume_after

    def check_head(self, head: ResponseHeadInfo) -> str | None:
        """Check the head of the response."""
        self.is_stream = head.content_type.startswith(EVENT_STREAM)
        if head.request_id is not None and head.request_id != self.request_id:
            return f"the response belongs to request {head.request_id}"
        if not head.has_length and not self.is_stream:
            return "the response has neither a length nor an end mark"
        return None

    def check_event(self, event: EventInfo) -> str | None:
        """Check the next event of a stream."""
        if self.has_ended:
            return "the stream continues after its end mark"
        if event.is_end:
            self.has_ended = True
            return None
        return self._check_id(event.response_id) or self._check_number(event.number)

    def check_end(self) -> str | None:
        """Check the end of the response."""
        if self.is_stream and not self.has_ended:
            return "the stream ended without its end mark"
        return None

    def _check_id(self, response_id: str | None) -> str | None:
        if response_id is None or response_id == self._response_id:
            return None
        match = REQUEST_ID_SUFFIX.search(response_id)
        if self._response_id is not None or (match and match.group(1) != self.request_id):
            return f"an event belongs to response {response_id}"
        self._response_id = response_id
        return None

    def _check_number(self, number: int | None) -> str | None:
        last = self.last_number
        if number is None:
            return None if last is None else f"an event after event {last} has no number"
        if last is None and number not in FIRST_EVENT_NUMBERS:
            return f"the stream begins with event {number}"
        if last is not None and number <= last:
            return f"event {number} received again after event {last}"
        if last is not None and number > last + 1:
            return f"events missing between {last} and {number}"
        self.last_number = number
        return None
