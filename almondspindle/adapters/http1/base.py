"""The header codec that the server and the target client use, and the encoding of a head."""

from typing import Protocol

from almondspindle.core.calls import Call, Headers
from almondspindle.core.outcomes import Outcome, Refusal
from almondspindle.core.placements import ResponseMetadata


class HeaderCodec(Protocol):
    """Translate headers to and from core types. A module may implement it."""

    MISDIRECTED: int

    def read_call(
        self, method: str, path: str, headers: Headers, body: bytes, now: float
    ) -> Outcome[Call]:
        """Return the call that a caller's request describes, or why it is malformed."""
        ...

    def request_id(self, headers: Headers) -> str:
        """Return the id of the request with these headers, or an empty string."""
        ...

    def request_headers(self, call: Call, now: float) -> Headers:
        """Return the headers to send with `call` to its target."""
        ...

    def read_response_head(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the information in the head of a target's response."""
        ...

    def refusal_status(self, refusal: Refusal) -> int:
        """Return the status of the response that reports `refusal`."""
        ...

    def refusal_headers(self, request_id: str, refusal: Refusal) -> Headers:
        """Return the headers of the response that reports `refusal`."""
        ...


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Return the encoded head of a message.

    Raise `ValueError` if a line holds a character outside Latin-1, a line break or a NUL: it would
    be sent as other text, or as further lines.
    """
    lines = [first_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\r") != breaks or head.count("\n") != breaks or "\0" in head:
        raise ValueError("a line break or NUL in the head of a message")
    return head.encode("latin-1")
