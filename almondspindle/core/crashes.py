"""Crashes of targets, and the parts of requests that are suspected to cause them."""

from dataclasses import dataclass, field

from almondspindle.core.identifiers import RequestId

# Ids of prompt parts, and of the whole content of requests (`Call.content_ids`).
PartIds = frozenset[str]


@dataclass(frozen=True, slots=True)
class Crash:
    """An attempt whose target went down before the response was complete.

    `address` is the target's, and `parts` are the request's. Times are in seconds on the monotonic
    clock of this host: when the request was sent, when the target went down, and when this host had
    last seen a response of the same service. `has_begun` is set if a part of the response's body,
    of a stream an event, had been received.
    """

    request_id: RequestId
    address: str
    parts: PartIds
    sent_at: float
    crashed_at: float
    last_response_at: float
    service: str = ""
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class CutPart:
    """The last request with a part that the crash of a target cut.

    `has_begun` is set if the responses to all requests with the part had begun.
    """

    request_id: RequestId
    sent_at: float
    has_begun: bool


@dataclass(slots=True)
class TargetCrash:
    """A crash of a target, with the parts of all requests that it cut there.

    Times are those of the request that was reported first, in seconds on the monotonic clock.
    """

    address: str
    service: str
    crashed_at: float
    last_response_at: float
    parts: dict[str, CutPart] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash as hosts report it to each other: the times as ages in seconds."""

    request_id: RequestId
    address: str
    parts: tuple[str, ...]
    sent_age_s: float
    crash_age_s: float
    service: str = ""
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Parts of requests that crash targets. It is the age of the last crash that they caused, in s.

    A request is refused if it has all of `parts`. They are more than one as long as it isn't known
    which of them is the cause.
    """

    parts: tuple[str, ...]
    crash_age_s: float


@dataclass(frozen=True, slots=True)
class CrashNews:
    """What a host reports of crashes: recent ones, and all parts in quarantine.

    `answered` has the age in seconds of the last complete response to a request with a suspected
    part, by the id of the part.
    """

    crashes: tuple[CrashReport, ...] = ()
    answered: dict[str, float] = field(default_factory=dict)
    quarantined: tuple[QuarantineReport, ...] = ()
