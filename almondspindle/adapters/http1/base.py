"""What the HTTP front and the way to targets need of the platform's names."""

from typing import Protocol

from almondspindle.core.calls import Call, Headers
from almondspindle.core.outcomes import Outcome, Refusal
from almondspindle.core.placements import ResponseMetadata


class HeaderCodec(Protocol):
    """Translates headers to and from the project's types. A module may serve as one."""

    MISDIRECTED: int

    def read_call(
        self, method: str, path: str, headers: Headers, body: bytes, now: float
    ) -> Outcome[Call]:
        """Return the call that a caller's request stands for, or why it is malformed."""
        ...

    def request_id(self, headers: Headers) -> str:
        """Return the id of the request with these headers, or an empty string."""
        ...

    def request_headers(self, call: Call, now: float) -> Headers:
        """Return the headers that `call` is sent to its target with."""
        ...

    def read_response_head(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what the head of a target's answer says."""
        ...

    def refusal_status(self, refusal: Refusal) -> int:
        """Return the status that tells a caller of `refusal`."""
        ...

    def refusal_headers(self, request_id: str, refusal: Refusal) -> Headers:
        """Return the headers of an answer that refuses a request."""
        ...


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Return the bytes of a message's head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")
