"""The choice of a target for an attempt, and the result of the attempt."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import Headers
from almondspindle.core.identifiers import TargetName


@dataclass(frozen=True, slots=True)
class Occupancy:
    """The load that a target reports with a response: its requests and its slots.

    `slowness` is how long work takes on its machine at the moment, 1.0 being usual, None if the
    target doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class RequestedPause:
    """For how long a target that rejected a request wants no more from this host.

    `text` is what the target sent, shortened. `seconds` may be negative or infinite; it is None if
    the text is not a number.
    """

    text: str
    seconds: float | None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """The information in the head of a target's response, apart from the status.

    `is_stamped` is set if the target itself created the response, `is_not_run` if it did not run
    the request, and `is_encoded` if the body has a content encoding and so is not the target's
    own bytes. `cold_left_s` is how long the target stays cold, in seconds. `instance` is the name
    that the target gives itself, None if it gives none, and `is_leaving` is set if it is about to
    stop. `pause` is set if the target rejected the request and asked for a pause.
    """

    is_stamped: bool
    is_not_run: bool
    is_encoded: bool
    request_id: str | None
    occupancy: Occupancy | None
    cold_left_s: float | None
    headers: Headers
    instance: TargetName | None = None
    is_leaving: bool = False
    pause: RequestedPause | None = None


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What the head of a response says about the target that sent it.

    `ticket` identifies the attempt. `instance` is the name that the sender gives itself, None if it
    gives none. `is_misdirected` is set if the sender is not the target that the attempt was for.
    `pause` is set if the sender wants no requests from this host for some time.
    """

    ticket: int
    instance: TargetName | None = None
    is_misdirected: bool = False
    is_leaving: bool = False
    pause: RequestedPause | None = None


@dataclass(frozen=True, slots=True)
class TargetLife:
    """A target from one start to its end.

    `started_at_ms` is in milliseconds since the Unix epoch by the target's own clock, None if it is
    unknown.
    """

    target: TargetName
    address: str
    started_at_ms: int | None


class PlacementReason(StrEnum):
    """Why a target was selected."""

    HOME = "home"  # ranked first for the request's prompt
    SPILL = "spill"  # targets ranked before it are near their limits
    LEAST_LOADED = "least loaded"
    LAST_RESORT = "last resort"  # no target is healthy


@dataclass(frozen=True, slots=True)
class Placement:
    """The target for one attempt.

    `ticket` identifies the reservation to release at the end of the attempt. `load` is the
    target's load in requests. `copy_from` is the address of a target that may have the request's
    prompt in memory. `version` is the target's, and `is_cold` whether the target is cold.
    `is_rolling_out` is set while the service is moved to another version.
    """

    ticket: int
    target: TargetName
    address: str
    reason: PlacementReason
    load: int = 0
    copy_from: str | None = None
    version: str = ""
    is_cold: bool = False
    is_rolling_out: bool = False


class AttemptEnd(StrEnum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # the target reports that it did not run the request
    MISDIRECTED = "misdirected"  # the address belongs to another target now
    NOT_CONNECTED = "not connected"
    UNSENDABLE = "unsendable"  # the request has no valid form on the wire; nothing was sent
    CONNECTION_BROKEN = "cut"  # the connection broke, or the response was invalid
    IDLE_TIMEOUT = "silent"
    TIMED_OUT = "timed out"
    ABANDONED = "abandoned"  # the caller disconnected


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """The result of an attempt.

    `started` tells whether a response head was passed on, in this attempt or an earlier one.
    `wrote_body` tells whether the target sent a part of the body in this attempt; of a stream, at
    least one event. `target_is_down` is set if the connection ended the response, and the target
    refused another one right after. `cold_left_s` is how long the target stays cold, in seconds, if
    it reported that. `events` is the number of events received in this attempt, 0 if it was no
    stream. `first_byte_s` is the time from the start of the attempt to the first part of the body,
    of a stream to its first event, in seconds. `occupancy` is the load that the target reported.
    """

    end: AttemptEnd
    status: int = 0
    started: bool = False
    detail: str = ""
    wrote_body: bool = False
    target_is_down: bool = False
    cold_left_s: float | None = None
    events: int = 0
    first_byte_s: float | None = None
    occupancy: Occupancy | None = None
