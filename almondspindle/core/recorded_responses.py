"""Responses to commits that are stored, and replayed to later requests with the same key."""

from dataclasses import dataclass

from almondspindle.core.calls import Headers
from almondspindle.core.identifiers import TargetName


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """The complete response to a commit. `body` is None if there was no room to store it."""

    status: int
    target: TargetName
    headers: Headers = ()
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class ReplayedResponse:
    """A recorded response that the chain returns instead of making a new attempt."""

    response: RecordedResponse
