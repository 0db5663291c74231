"""Claims: records that make sure a commit is sent at most once."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import Headers
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, TeamName


class ClaimState(StrEnum):
    """What the store holds of a key."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class CommitOutcome(StrEnum):
    """How the holder of an attempt says that it ended."""

    NOT_SENT = "not sent"
    NO_RESPONSE = "no answer"
    ANSWERED = "answered"


class ClaimDecision(StrEnum):
    """What becomes of a claim, a settlement or a look."""

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
    """An idempotency key (UUIDv7 text) and the team and service in which it counts."""

    team: TeamName
    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A whole answer as recorded. `body` is None when it was too large to keep."""

    status: int
    target: TargetName
    headers: Headers = ()
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class CommitAttempt:
    """One attempt at a commit: who asks, under which nonce, for which request.

    `fingerprint` is a digest of the request's method, path and body.
    """

    scope: KeyScope
    fingerprint: bytes
    nonce: str
    holder: HostName


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask for the right to send the request of `attempt`. `budget_ms` is the time left for it."""

    attempt: CommitAttempt
    budget_ms: float

    @property
    def scope(self) -> KeyScope:
        """Return the key that the change is about."""
        return self.attempt.scope


@dataclass(frozen=True, slots=True)
class SettleRequest:
    """Say how an attempt ended. Only the holder of its nonce may send this."""

    attempt: CommitAttempt
    ending: CommitOutcome
    answer: RecordedResponse | None = None

    @property
    def scope(self) -> KeyScope:
        """Return the key that the change is about."""
        return self.attempt.scope


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Ask what is recorded for a key."""

    scope: KeyScope


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """What the store holds for one key. Times are in seconds since the Unix epoch.

    `attempt` counts from 1; `nonce` and `holder` belong to the newest attempt, which may send
    until `may_send_until` by its own deadline.
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
    """The decision on a change or a look, with the record that it rests on, if any."""

    decision: ClaimDecision
    record: ClaimRecord | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ReplayedResponse:
    """A recorded answer that ends a walk through the chain in place of a new attempt."""

    response: RecordedResponse
