"""Messages to the quarantine controller."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.crashes import CrashNews, PartIds
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import Outcome
from almondspindle.core.placements import AttemptReport


@dataclass(frozen=True, slots=True)
class CheckRequest(ControllerRequest[Outcome[frozenset[str]]]):
    """Request whether a request with `parts` (`Call.content_ids`) may be sent.

    If so, the response has the addresses of targets that it should not meet, if there are others.
    `is_retry` is set if an attempt at the request failed before.
    """

    parts: PartIds
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class RequestAttemptEnded:
    """An attempt at `address` ended. It was sent at `sent_at`, in s on the monotonic clock."""

    request_id: RequestId
    parts: PartIds
    address: str
    sent_at: float
    report: AttemptReport
    service: str = ""


@dataclass(frozen=True, slots=True)
class CrashNewsReceived:
    """Another host reported crashes."""

    news: CrashNews


@dataclass(frozen=True, slots=True)
class GetCrashNews(ControllerRequest[CrashNews | None]):
    """Request what this host reports of crashes, or None if there is nothing."""
