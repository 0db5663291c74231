"""What a host knows of a target's load, and where it sends a request."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import Headers
from almondspindle.core.identifiers import TargetName


@dataclass(frozen=True, slots=True)
class Occupancy:
    """What a target says of its load with an answer: requests and places."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of a target's answer says besides the status.

    `is_stamped` tells that the target itself made the answer, `is_not_run` that it has not run
    the request, and `is_encoded` that the body is not the target's own bytes.
    """

    is_stamped: bool
    is_not_run: bool
    is_encoded: bool
    request_id: str | None
    occupancy: Occupancy | None
    cold_left_s: float | None
    headers: Headers


class PlacementReason(StrEnum):
    """Why a target was chosen."""

    HOME = "home"  # first in the order of the request's prompt
    SPILL = "spill"  # those before it are near their limits
    LEAST_LOADED = "least loaded"
    LAST_RESORT = "last resort"  # no target is in good health


@dataclass(frozen=True, slots=True)
class Placement:
    """A target for one attempt. `ticket` is given back when the attempt has ended.

    `copy_from` is the address of a target that may hold the request's prompt in memory.
    """

    ticket: int
    target: TargetName
    address: str
    reason: PlacementReason
    load: int = 0
    copy_from: str | None = None


class AttemptEnd(StrEnum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # the target says that it has not run the request
    MISDIRECTED = "misdirected"  # another target has the address
    NOT_CONNECTED = "not connected"
    CONNECTION_BROKEN = "cut"  # the connection broke, or the answer was not valid
    IDLE_TIMEOUT = "silent"
    TIMED_OUT = "timed out"
    ABANDONED = "abandoned"  # the caller has left


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How an attempt ended; `cold_left_s` is set when the target said how long it stays cold."""

    end: AttemptEnd
    status: int = 0
    started: bool = False
    detail: str = ""
    cold_left_s: float | None = None
