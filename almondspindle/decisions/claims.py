"""Apply claims, settlements and lookups to the records of a segment."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import singledispatch

from almondspindle.core.claims import (
    ClaimDecision,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    CommitAttempt,
    CommitOutcome,
    LookupRequest,
    SettleRequest,
)
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.recorded_responses import RecordedResponse
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, KeyAge, key_age, key_digest

MS_PER_S = 1000.0
SETTLE_MARGIN_S = 10.0  # time after its deadline in which an attempt may still be settled
SEAL_THRESHOLD_BYTES = 384 * 1024  # a part above this size accepts no new keys
MAX_BYTES_WITH_BODIES = 896 * 1024  # no headers or body are stored beyond this size of a part
RECORD_OVERHEAD_BYTES = 128  # upper bound of an encoded record without its texts and response
HEADER_OVERHEAD_BYTES = 8  # upper bound of the encoding overhead of one header

ClaimOperation = ClaimRequest | SettleRequest | LookupRequest

# The first settlement is final, so a combination without an entry leaves the record unchanged. Two
# exceptions: a response replaces the lack of one, and NO_RESPONSE replaces NOT_SENT because the
# request may have run after all. A key is released for another attempt only by NOT_SENT from the
# holder of an unsettled claim.
STATE_AFTER_OUTCOME: dict[tuple[ClaimState, CommitOutcome], ClaimState] = {
    (ClaimState.CLAIMED, CommitOutcome.NOT_SENT): ClaimState.RELEASED,
    (ClaimState.CLAIMED, CommitOutcome.NO_RESPONSE): ClaimState.UNKNOWN,
    (ClaimState.CLAIMED, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
    (ClaimState.UNKNOWN, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
    (ClaimState.RELEASED, CommitOutcome.NO_RESPONSE): ClaimState.UNKNOWN,
    (ClaimState.RELEASED, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
}

DECISION_BY_STATE: dict[ClaimState, ClaimDecision] = {
    ClaimState.RELEASED: ClaimDecision.GRANTED,
    ClaimState.CLAIMED: ClaimDecision.IN_PROGRESS,
    ClaimState.UNKNOWN: ClaimDecision.OUTCOME_UNKNOWN,
    ClaimState.ANSWERED: ClaimDecision.ANSWERED,
}

OWN_NONCE_DECISION_BY_STATE: dict[ClaimState, ClaimDecision] = {
    ClaimState.CLAIMED: ClaimDecision.GRANTED,
    ClaimState.RELEASED: ClaimDecision.RELEASED,
}


@dataclass(frozen=True, slots=True)
class PartRecords:
    """The records of one part of a segment, by key digest. A sealed part accepts no new keys."""

    records: Mapping[bytes, ClaimRecord] = field(default_factory=dict)
    sealed: bool = False
    size_bytes: int = 0  # upper bound of the encoded size


@dataclass(frozen=True, slots=True)
class MergeResult:
    """A part after a batch. `replies[n]` is None if operation `n` belongs to the next part."""

    part: PartRecords
    replies: tuple[ClaimReply | None, ...]
    is_changed: bool


def merge(part: PartRecords, batch: Sequence[ClaimOperation], wall_now: float) -> MergeResult:
    """Return `part` after the operations of `batch` in order, and the decision on each.

    Merging is idempotent: merging a batch into its own result changes nothing. A retry after a lost
    response of the store is therefore safe. `wall_now` is in seconds since the Unix epoch.
    """
    draft = _Draft(dict(part.records), part.sealed, part.size_bytes, wall_now)
    replies = tuple(apply_operation(operation, draft) for operation in batch)
    merged = PartRecords(draft.records, draft.sealed, draft.size_bytes)
    return MergeResult(merged, replies, draft.is_changed)


@dataclass(slots=True)
class _Draft:
    """The mutable copy of a part while a batch is merged into it."""

    records: dict[bytes, ClaimRecord]
    sealed: bool
    size_bytes: int
    wall_now: float
    is_changed: bool = False

    def accepts(self, digest: bytes) -> bool:
        """Return whether the part holds or may add `digest`. Seal the part if it is full."""
        if digest in self.records:
            return True
        if not self.sealed and self.size_bytes > SEAL_THRESHOLD_BYTES:
            self.sealed = True
            self.is_changed = True
        return not self.sealed

    def put(self, digest: bytes, record: ClaimRecord) -> None:
        """Store `record` and update the size."""
        old = self.records.get(digest)
        self.size_bytes += record_bytes(record) - (record_bytes(old) if old else 0)
        self.records[digest] = record
        self.is_changed = True


@singledispatch
def apply_operation(operation: object, draft: _Draft) -> ClaimReply | None:
    """Apply `operation` to `draft`; return the decision, or None if it belongs to the next part."""
    raise InvariantError(f"unexpected operation type {type(operation).__name__}")


@apply_operation.register
def _(operation: ClaimRequest, draft: _Draft) -> ClaimReply | None:
    attempt = operation.attempt
    digest = key_digest(attempt.scope)
    if not draft.accepts(digest):
        return None
    # The service's own retention window is checked at the entry. This check uses the age at which
    # records are deleted, so that a key whose record is gone is never taken for a new key.
    if _is_expired(attempt.scope.key, draft):
        return ClaimReply(ClaimDecision.KEY_EXPIRED)
    old = draft.records.get(digest)
    decision = decide_claim(old, attempt, draft.wall_now)
    if decision is not ClaimDecision.GRANTED:
        return ClaimReply(decision, old)
    if old is not None and old.nonce == attempt.nonce:
        return ClaimReply(decision, old)
    record = _new_claim_record(attempt, old, draft.wall_now, operation.budget_ms)
    draft.put(digest, record)
    return ClaimReply(decision, record)


@apply_operation.register
def _(operation: SettleRequest, draft: _Draft) -> ClaimReply | None:
    digest = key_digest(operation.attempt.scope)
    if not draft.accepts(digest):
        return None
    old = draft.records.get(digest)
    if old is None and _is_expired(operation.scope.key, draft):
        return ClaimReply(ClaimDecision.SETTLED)
    if old is None:
        # The write of the claim may still be in flight. The record written here changes the version
        # of the object, so that the late conditional write fails.
        old = _new_claim_record(operation.attempt, None, draft.wall_now, 0.0)
    if old.nonce != operation.attempt.nonce:
        return ClaimReply(ClaimDecision.SETTLED, old)
    state = STATE_AFTER_OUTCOME.get((old.state, operation.ending))
    if state is None:
        return ClaimReply(ClaimDecision.SETTLED, old)
    response = operation.answer and _fit_into_part(operation.answer, draft.size_bytes)
    record = replace(old, state=state, settled_at=draft.wall_now, answer=response)
    draft.put(digest, record)
    return ClaimReply(ClaimDecision.SETTLED, record)


@apply_operation.register
def _(operation: LookupRequest, draft: _Draft) -> ClaimReply | None:
    found = draft.records.get(key_digest(operation.scope))
    if found is None:
        return None if draft.sealed else ClaimReply(ClaimDecision.ABSENT)
    return ClaimReply(ClaimDecision.SETTLED, found)


def decide_claim(
    record: ClaimRecord | None, attempt: CommitAttempt, wall_now: float
) -> ClaimDecision:
    """Return whether `attempt` may be sent, given the record of its key."""
    if record is None:
        return ClaimDecision.GRANTED
    if record.fingerprint != attempt.fingerprint:
        return ClaimDecision.KEY_REUSED
    decision = DECISION_BY_STATE[record.state]
    if record.nonce == attempt.nonce:
        decision = OWN_NONCE_DECISION_BY_STATE.get(record.state, decision)
    elif is_overdue(record, wall_now):
        return ClaimDecision.OUTCOME_UNKNOWN
    if decision is ClaimDecision.ANSWERED and (record.answer is None or record.answer.body is None):
        return ClaimDecision.RESPONSE_NOT_STORED
    return decision


def is_overdue(record: ClaimRecord, wall_now: float) -> bool:
    """Return whether the holder of an unsettled claim should have settled it by now.

    This affects only what is reported about the claim. The claim itself stands until its holder
    settles it.
    """
    is_late = wall_now > record.may_send_until + SETTLE_MARGIN_S
    return is_late and record.state is ClaimState.CLAIMED


def record_bytes(record: ClaimRecord) -> int:
    """Return an upper bound of the encoded size of `record` with its key."""
    size = RECORD_OVERHEAD_BYTES + len(record.nonce) + len(record.holder)
    return size + (response_bytes(record.answer) if record.answer else 0)


def response_bytes(response: RecordedResponse) -> int:
    """Return an upper bound of the encoded size of `response`."""
    headers = sum(
        len(n.encode()) + len(v.encode()) + HEADER_OVERHEAD_BYTES for n, v in response.headers
    )
    return headers + len(response.target) + len(response.body or b"")


def _is_expired(key: str, draft: _Draft) -> bool:
    return key_age(key, MAX_RETENTION_S, draft.wall_now) is KeyAge.EXPIRED


def _new_claim_record(
    attempt: CommitAttempt, old: ClaimRecord | None, wall_now: float, budget_ms: float
) -> ClaimRecord:
    return ClaimRecord(
        fingerprint=attempt.fingerprint,
        state=ClaimState.CLAIMED,
        nonce=attempt.nonce,
        holder=attempt.holder,
        attempt=old.attempt + 1 if old else 1,
        claimed_at=wall_now,
        may_send_until=wall_now + budget_ms / MS_PER_S,
    )


def _fit_into_part(response: RecordedResponse, size_bytes: int) -> RecordedResponse:
    """Return `response`, without headers and body if the part has no room for them."""
    if size_bytes + response_bytes(response) > MAX_BYTES_WITH_BODIES:
        return RecordedResponse(response.status, response.target)
    return response
