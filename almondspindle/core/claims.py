"""Claims: stored records that ensure that a commit is sent at most once."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.identifiers import HostName, ServiceName, TeamName
from almondspindle.core.recorded_responses import RecordedResponse


class ClaimState(StrEnum):
    """The state of an idempotency key in the store."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class CommitOutcome(StrEnum):
    """How an attempt at a commit ended, as reported by its holder."""

    NOT_SENT = "not sent"
    NO_RESPONSE = "no answer"
    ANSWERED = "answered"


class ClaimDecision(StrEnum):
    """The decision on a claim, a settlement or a lookup."""

    GRANTED = "granted"
    ANSWERED = "answered"
    RESPONSE_NOT_STORED = "answer not kept"
    IN_PROGRESS = "in progress"
    OUTCOME_UNKNOWN = "outcome unknown"
    KEY_REUSED = "key reused"
    KEY_EXPIRED = "key expired"
    RELEASED = "released"
    SETTLED = "settled"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class KeyScope:
    """An idempotency key (a UUIDv7 as text), with the team and service that it is scoped to."""

    team: TeamName
    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class CommitAttempt:
    """One attempt at a commit.

    `fingerprint` is a digest of the request's method, path and body. `nonce` identifies the
    attempt, and `holder` is the host that makes it.
    """

    scope: KeyScope
    fingerprint: bytes
    nonce: str
    holder: HostName


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request permission to send the commit of `attempt`.

    `budget_ms` is the time left for the attempt, in milliseconds.
    """

    attempt: CommitAttempt
    budget_ms: float

    @property
    def scope(self) -> KeyScope:
        """Return the key to which the request applies."""
        return self.attempt.scope


@dataclass(frozen=True, slots=True)
class SettleRequest:
    """Report how an attempt ended. Only the holder of its nonce may send this."""

    attempt: CommitAttempt
    ending: CommitOutcome
    answer: RecordedResponse | None = None

    @property
    def scope(self) -> KeyScope:
        """Return the key to which the request applies."""
        return self.attempt.scope


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Request the record of a key."""

    scope: KeyScope


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The stored record of one key. Times are in seconds since the Unix epoch.

    `attempt` counts from 1. `nonce` and `holder` are those of the latest attempt, which may send
    the commit until its deadline `may_send_until`.
    """

    fingerprint: bytes
    state: ClaimState
    nonce: str
    holder: HostName
    attempt: int
    claimed_at: float
    may_send_until: float
    settled_at: float = 0.0
    answer: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The decision on a claim, settlement or lookup, with the record it is based on, if any."""

    decision: ClaimDecision
    record: ClaimRecord | None = None
    reason: str = ""
