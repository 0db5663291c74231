"""Results that carry either a value or a refusal."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from expression import Error, Ok, Result

T = TypeVar("T")


class RunState(StrEnum):
    """What is known about the execution of a request that was refused."""

    NOT_RUN = "not run"
    ATTEMPT_NOT_RUN = "this attempt not run, earlier attempts unknown"
    IN_PROGRESS = "in progress"
    UNKNOWN = "outcome unknown"
    RUN = "run"


class RefusalCode(StrEnum):
    """Why a request was refused, as reported to the caller."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    KEY_MISSING = "idempotency_key_missing"
    KEY_MALFORMED = "idempotency_key_malformed"
    KEY_EXPIRED = "idempotency_key_expired"
    KEY_REUSED = "idempotency_key_reused"
    RESPONSE_NOT_STORED = "answer_not_kept"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    NO_TARGET = "no_target"
    NOT_OWNER = "not_owner"
    FULL = "full"
    STARTING = "starting"
    LEAVING = "leaving"
    ZONE_OUT = "zone_out"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    PEER_UNREACHABLE = "peer_unreachable"
    TARGET_UNREACHABLE = "target_unreachable"
    RESPONSE_BROKEN = "answer_broken"
    RESUME_REFUSED = "resume_refused"
    REQUEST_QUARANTINED = "request_quarantined"
    TARGETS_PAUSED = "targets_paused"
    STORE_UNAVAILABLE = "store_unavailable"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request was refused.

    `run_state` tells whether the request was executed. `retry_after_s` is None if waiting does
    not help.
    """

    code: RefusalCode
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


Outcome = Result[T, Refusal]


def refused(
    code: RefusalCode,
    message: str,
    run_state: RunState = RunState.NOT_RUN,
    retry_after_s: float | None = None,
) -> Result[T, Refusal]:
    """Return an error outcome with a `Refusal` of these arguments."""
    return Error(Refusal(code, message, run_state, retry_after_s))


class InvariantError(Exception):
    """A state that must not occur. In a controller it is handled as any exception."""


__all__ = [
    "Error",
    "InvariantError",
    "Ok",
    "Outcome",
    "Refusal",
    "RefusalCode",
    "Result",
    "RunState",
    "refused",
]
