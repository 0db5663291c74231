"""What becomes of claims and settlements that meet the records of a segment."""

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
    RecordedResponse,
    SettleRequest,
)
from almondspindle.core.outcomes import InvariantError
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, KeyAge, key_age, key_digest

MS_PER_S = 1000.0
SETTLE_MARGIN_S = 10.0  # time after its deadline in which a holder may still settle
SEAL_THRESHOLD_BYTES = 384 * 1024  # a part above this takes no new keys
MAX_BYTES_WITH_BODIES = 896 * 1024  # a part above this keeps no more answer bodies
RECORD_OVERHEAD_BYTES = 128  # upper bound of an encoded record without its texts and answer
HEADER_OVERHEAD_BYTES = 8  # upper bound of the encoding around one header

ClaimOperation = ClaimRequest | SettleRequest | LookupRequest

# A state without an entry for an ending keeps its record: the holder's first word stands, except
# that an answer is better knowledge than none. Only the holder's NOT_SENT, given while its claim
# stands, makes a key free for another attempt.
STATE_AFTER_ENDING: dict[tuple[ClaimState, CommitOutcome], ClaimState] = {
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
    """The records of one part of a segment, by key digest. A sealed part takes no new keys."""

    records: Mapping[bytes, ClaimRecord] = field(default_factory=dict)
    sealed: bool = False
    size_bytes: int = 0  # upper bound of the encoded size


@dataclass(frozen=True, slots=True)
class MergeResult:
    """A part after a batch. `replies[n]` is None where change `n` belongs to the next part."""

    part: PartRecords
    replies: tuple[ClaimReply | None, ...]
    is_changed: bool


def merge(part: PartRecords, batch: Sequence[ClaimOperation], wall_now: float) -> MergeResult:
    """Return `part` after the changes of `batch` in order, and the decision on each.

    Merging a batch again into its own result gives the same decisions and no change, which is
    what makes a repeat after a lost answer of the store safe.
    """
    draft = _Draft(dict(part.records), part.sealed, part.size_bytes, wall_now)
    replies = tuple(apply_operation(change, draft) for change in batch)
    after = PartRecords(draft.records, draft.sealed, draft.size_bytes)
    return MergeResult(after, replies, draft.is_changed)


@dataclass(slots=True)
class _Draft:
    records: dict[bytes, ClaimRecord]
    sealed: bool
    size_bytes: int
    wall_now: float
    is_changed: bool = False

    def accepts(self, digest: bytes) -> bool:
        """Return whether the part may hold `digest`; seal the part when it has become full."""
        if digest in self.records:
            return True
        if not self.sealed and self.size_bytes > SEAL_THRESHOLD_BYTES:
            self.sealed = True
            self.is_changed = True
        return not self.sealed

    def put(self, digest: bytes, record: ClaimRecord) -> None:
        """Store `record` and keep count of the size."""
        old = self.records.get(digest)
        self.size_bytes += record_bytes(record) - (record_bytes(old) if old else 0)
        self.records[digest] = record
        self.is_changed = True


@singledispatch
def apply_operation(change: object, draft: _Draft) -> ClaimReply | None:
    """Return the decision on `change` and enter it into `draft`; None where it has no place."""
    raise InvariantError(f"unexpected change {type(change).__name__}")


@apply_operation.register
def _(change: ClaimRequest, draft: _Draft) -> ClaimReply | None:
    attempt = change.attempt
    digest = key_digest(attempt.scope)
    if not draft.accepts(digest):
        return None
    # The service's own window is checked at the entry. This bound is the one after which records
    # are deleted, so that a key without a record is never taken for a new one.
    if _is_expired(attempt.scope.key, draft):
        return ClaimReply(ClaimDecision.KEY_EXPIRED)
    old = draft.records.get(digest)
    decision = decide_claim(old, attempt, draft.wall_now)
    if decision is not ClaimDecision.GRANTED:
        return ClaimReply(decision, old)
    if old is not None and old.nonce == attempt.nonce:
        return ClaimReply(decision, old)
    record = _new_claim_record(attempt, old, draft.wall_now, change.budget_ms)
    draft.put(digest, record)
    return ClaimReply(decision, record)


@apply_operation.register
def _(change: SettleRequest, draft: _Draft) -> ClaimReply | None:
    digest = key_digest(change.attempt.scope)
    if not draft.accepts(digest):
        return None
    old = draft.records.get(digest)
    if old is None and _is_expired(change.scope.key, draft):
        return ClaimReply(ClaimDecision.SETTLED)
    if old is None:
        # The claim may still be on its way to the store. The record written here changes the
        # object's version, so that a late write of the claim fails.
        old = _new_claim_record(change.attempt, None, draft.wall_now, 0.0)
    if old.nonce != change.attempt.nonce:
        return ClaimReply(ClaimDecision.SETTLED, old)
    state = STATE_AFTER_ENDING.get((old.state, change.ending))
    if state is None:
        return ClaimReply(ClaimDecision.SETTLED, old)
    answer = change.answer and _fit_into_part(change.answer, draft.size_bytes)
    record = replace(old, state=state, settled_at=draft.wall_now, answer=answer)
    draft.put(digest, record)
    return ClaimReply(ClaimDecision.SETTLED, record)


@apply_operation.register
def _(change: LookupRequest, draft: _Draft) -> ClaimReply | None:
    found = draft.records.get(key_digest(change.scope))
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
    """Return whether the holder of a standing claim should have settled it by now.

    This changes only what a retry is told; the claim stands until its holder settles it.
    """
    late = wall_now > record.may_send_until + SETTLE_MARGIN_S
    return late and record.state is ClaimState.CLAIMED


def record_bytes(record: ClaimRecord) -> int:
    """Return an upper bound of the encoded size of `record` with its key."""
    size = RECORD_OVERHEAD_BYTES + len(record.nonce) + len(record.holder)
    return size + (response_bytes(record.answer) if record.answer else 0)


def response_bytes(answer: RecordedResponse) -> int:
    """Return an upper bound of the encoded size of `answer`."""
    headers = sum(
        len(n.encode()) + len(v.encode()) + HEADER_OVERHEAD_BYTES for n, v in answer.headers
    )
    return headers + len(answer.target) + len(answer.body or b"")


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


def _fit_into_part(answer: RecordedResponse, size_bytes: int) -> RecordedResponse:
    """Return `answer`, without its body where the part has no room for it."""
    if size_bytes + response_bytes(answer) > MAX_BYTES_WITH_BODIES:
        return RecordedResponse(answer.status, answer.target)
    return answer
