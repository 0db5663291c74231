"""Decisions on claims: the state table, merging of batches, keys and segments."""

from itertools import product
from uuid import UUID

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.adapters.platform.claim_codec import FORMAT_NUMBER, decode_part, encode_part
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimRequest,
    ClaimState,
    CommitAttempt,
    CommitOutcome,
    KeyScope,
    LookupRequest,
    SettleRequest,
)
from almondspindle.core.recorded_responses import RecordedResponse
from almondspindle.decisions.claim_keys import (
    MAX_RETENTION_S,
    MAX_SKEW_S,
    KeyAge,
    fingerprint,
    is_deletable,
    key_age,
    key_digest,
    segment_of,
)
from almondspindle.decisions.claims import SEAL_THRESHOLD_BYTES, PartRecords, merge

NOW = 1_800_000_000.0
FINGERPRINT = b"f" * 16
OK_RESPONSE = RecordedResponse(200, "dispatch-0", (("Content-Type", "text/plain"),), b"done")
BODILESS_RESPONSE = RecordedResponse(200, "dispatch-0")


def uuid7(number: int = 0, at: float = NOW) -> str:
    value = int(at * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=value))


def attempt(nonce: str, key: int = 0, request: bytes = FINGERPRINT) -> CommitAttempt:
    return CommitAttempt(KeyScope("grid", "dispatch", uuid7(key)), request, nonce, "host-1")


def claim(
    nonce: str, key: int = 0, request: bytes = FINGERPRINT, budget_ms: float = 5000.0
) -> ClaimRequest:
    return ClaimRequest(attempt(nonce, key, request), budget_ms)


def settle(nonce: str, outcome: CommitOutcome, key: int = 0, response=None) -> SettleRequest:
    return SettleRequest(attempt(nonce, key), outcome, response)


def merge_into_empty(*operations, now: float = NOW) -> tuple[PartRecords, list[ClaimDecision]]:
    merged = merge(PartRecords(), operations, now)
    return merged.part, [reply.decision for reply in merged.replies]


A, B = "a" * 24, "b" * 24
SETTLEMENTS = {
    ClaimState.CLAIMED: [],
    ClaimState.RELEASED: [settle(A, CommitOutcome.NOT_SENT)],
    ClaimState.UNKNOWN: [settle(A, CommitOutcome.NO_RESPONSE)],
    ClaimState.ANSWERED: [settle(A, CommitOutcome.ANSWERED, response=OK_RESPONSE)],
}
CLAIM_CASES = [
    (ClaimState.CLAIMED, A, ClaimDecision.GRANTED),
    (ClaimState.CLAIMED, B, ClaimDecision.IN_PROGRESS),
    (ClaimState.RELEASED, A, ClaimDecision.RELEASED),
    (ClaimState.RELEASED, B, ClaimDecision.GRANTED),
    (ClaimState.UNKNOWN, A, ClaimDecision.OUTCOME_UNKNOWN),
    (ClaimState.UNKNOWN, B, ClaimDecision.OUTCOME_UNKNOWN),
    (ClaimState.ANSWERED, A, ClaimDecision.ANSWERED),
    (ClaimState.ANSWERED, B, ClaimDecision.ANSWERED),
]


@pytest.mark.parametrize(("state", "nonce", "expected"), CLAIM_CASES)
def test_decision_on_a_claim_by_the_state_of_its_key(state, nonce, expected):
    part, decisions = merge_into_empty(claim(A), *SETTLEMENTS[state], claim(nonce))
    assert decisions[-1] is expected
    is_new_grant = (state, nonce) == (ClaimState.RELEASED, B)
    record = part.records[key_digest(attempt(A).scope)]
    assert (record.state, record.attempt) == (
        (ClaimState.CLAIMED, 2) if is_new_grant else (state, 1)
    )


STATE_AFTER_SETTLEMENT = {
    (ClaimState.CLAIMED, CommitOutcome.NOT_SENT): ClaimState.RELEASED,
    (ClaimState.CLAIMED, CommitOutcome.NO_RESPONSE): ClaimState.UNKNOWN,
    (ClaimState.CLAIMED, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
    (ClaimState.UNKNOWN, CommitOutcome.NOT_SENT): ClaimState.UNKNOWN,
    (ClaimState.UNKNOWN, CommitOutcome.NO_RESPONSE): ClaimState.UNKNOWN,
    (ClaimState.UNKNOWN, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
    (ClaimState.RELEASED, CommitOutcome.NOT_SENT): ClaimState.RELEASED,
    (ClaimState.RELEASED, CommitOutcome.NO_RESPONSE): ClaimState.UNKNOWN,
    (ClaimState.RELEASED, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
    (ClaimState.ANSWERED, CommitOutcome.NOT_SENT): ClaimState.ANSWERED,
    (ClaimState.ANSWERED, CommitOutcome.NO_RESPONSE): ClaimState.ANSWERED,
    (ClaimState.ANSWERED, CommitOutcome.ANSWERED): ClaimState.ANSWERED,
}


@pytest.mark.parametrize(("state", "outcome"), list(product(SETTLEMENTS, CommitOutcome)))
def test_state_after_a_settlement_by_the_state_of_the_key(state, outcome):
    part, _ = merge_into_empty(
        claim(A), *SETTLEMENTS[state], settle(A, outcome, response=BODILESS_RESPONSE)
    )
    assert (
        part.records[key_digest(attempt(A).scope)].state is STATE_AFTER_SETTLEMENT[state, outcome]
    )


@pytest.mark.parametrize("outcome", list(CommitOutcome))
def test_only_the_holder_settles_an_attempt(outcome):
    part, _ = merge_into_empty(claim(A), settle(B, outcome, response=OK_RESPONSE))
    assert part.records[key_digest(attempt(A).scope)].state is ClaimState.CLAIMED


def test_claim_that_arrives_after_its_settlement_is_not_granted():
    _, decisions = merge_into_empty(settle(A, CommitOutcome.NOT_SENT), claim(A), claim(B))
    assert decisions == [ClaimDecision.SETTLED, ClaimDecision.RELEASED, ClaimDecision.GRANTED]


def test_different_request_with_the_same_key_is_refused_in_every_state():
    for settlements in SETTLEMENTS.values():
        _, decisions = merge_into_empty(claim(A), *settlements, claim(B, request=b"other"))
        assert decisions[-1] is ClaimDecision.KEY_REUSED


def test_unsettled_claim_is_never_released_by_time():
    late = NOW + 100.0
    part, _ = merge_into_empty(claim(A, budget_ms=5000.0))
    merged = merge(part, [claim(B)], late)
    assert merged.replies[0].decision is ClaimDecision.OUTCOME_UNKNOWN
    assert not merged.is_changed


def test_response_without_body_is_reported_as_not_stored():
    _, decisions = merge_into_empty(
        claim(A), settle(A, CommitOutcome.ANSWERED, response=BODILESS_RESPONSE), claim(B)
    )
    assert decisions[-1] is ClaimDecision.RESPONSE_NOT_STORED


def test_key_older_than_the_retention_time_is_expired_not_granted():
    late = NOW + MAX_RETENTION_S + 1.0
    assert merge_into_empty(claim(A), now=late)[1] == [ClaimDecision.KEY_EXPIRED]


operations = st.lists(
    st.one_of(
        st.builds(
            claim, st.sampled_from([A, B]), st.integers(0, 3), st.sampled_from([FINGERPRINT, b"g"])
        ),
        st.builds(
            settle,
            st.sampled_from([A, B]),
            st.sampled_from(list(CommitOutcome)),
            st.integers(0, 3),
            st.sampled_from([OK_RESPONSE, BODILESS_RESPONSE]),
        ),
        st.builds(lambda key: LookupRequest(attempt(A, key).scope), st.integers(0, 3)),
    ),
    max_size=20,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(operations, st.integers(0, 20))
def test_batch_equals_its_operations_one_by_one(batch, split):
    merged = merge(PartRecords(), batch, NOW)
    part, replies = PartRecords(), []
    for operation in batch:
        stored = decode_part(encode_part(part)).ok
        step = merge(stored, [operation], NOW)
        part = step.part
        replies += step.replies
    assert (merged.part, list(merged.replies)) == (part, replies)
    first = merge(PartRecords(), batch[:split], NOW)
    assert merge(first.part, batch[split:], NOW).part == merged.part


class NaiveClaims:
    """A reference implementation of the rules, one key and one operation at a time."""

    def __init__(self) -> None:
        self.rows: dict[bytes, list] = {}  # fingerprint, state, nonce, attempt, body

    def decide(self, operation) -> str:
        digest = key_digest(operation.scope)
        if isinstance(operation, LookupRequest):
            return "settled" if digest in self.rows else "absent"
        attempted = operation.attempt
        if isinstance(operation, SettleRequest):
            row = self.rows.setdefault(
                digest, [attempted.fingerprint, "claimed", attempted.nonce, 1, None]
            )
            if row[2] == attempted.nonce and row[1] != "answered":
                if operation.ending is CommitOutcome.ANSWERED:
                    row[1], row[4] = "answered", operation.answer.body
                elif operation.ending is CommitOutcome.NO_RESPONSE:
                    row[1] = "unknown"
                elif row[1] == "claimed":
                    row[1] = "released"
            return "settled"
        row = self.rows.get(digest)
        if row is None:
            self.rows[digest] = [attempted.fingerprint, "claimed", attempted.nonce, 1, None]
            return "granted"
        if row[0] != attempted.fingerprint:
            return "key reused"
        if row[1] == "answered":
            return "answered" if row[4] is not None else "answer not kept"
        if row[1] == "unknown":
            return "outcome unknown"
        if row[1] == "claimed":
            return "granted" if row[2] == attempted.nonce else "in progress"
        if row[2] == attempted.nonce:
            return "released"
        self.rows[digest] = [row[0], "claimed", attempted.nonce, row[3] + 1, None]
        return "granted"


@settings(derandomize=True, deadline=None, max_examples=500)
@given(operations)
def test_batch_decides_like_the_naive_version(batch):
    naive = NaiveClaims()
    merged = merge(PartRecords(), batch, NOW)
    assert [reply.decision.value for reply in merged.replies] == [naive.decide(c) for c in batch]
    for digest, (_, state, nonce, number, _) in naive.rows.items():
        record = merged.part.records[digest]
        assert (record.state.value, record.nonce, record.attempt) == (state, nonce, number)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(operations)
def test_two_nonces_are_never_granted_without_a_release_in_between(batch):
    holder: dict[str, str | None] = {}
    for operation, reply in zip(batch, merge(PartRecords(), batch, NOW).replies, strict=True):
        key = operation.scope.key
        if isinstance(operation, ClaimRequest) and reply.decision is ClaimDecision.GRANTED:
            assert holder.get(key) in (None, operation.attempt.nonce)
            holder[key] = operation.attempt.nonce
        if reply.record is not None and reply.record.state is ClaimState.RELEASED:
            holder[key] = None


def test_full_part_is_sealed_and_the_rest_goes_to_the_next_part():
    batch = [claim(A, key) for key in range(4000)]
    merged = merge(PartRecords(), batch, NOW)
    data = encode_part(merged.part)
    placed = sum(reply is not None for reply in merged.replies)
    assert merged.part.sealed and 0 < placed < len(batch)
    assert len(data) <= merged.part.size_bytes <= SEAL_THRESHOLD_BYTES + 1000
    merged_again = merge(merged.part, batch, NOW)
    assert not merged_again.is_changed
    assert [r is None for r in merged_again.replies] == [r is None for r in merged.replies]
    response = RecordedResponse(200, "t", (), b"x" * 4000)
    settlements = [settle(A, CommitOutcome.ANSWERED, key, response) for key in range(placed)]
    # The store accepts objects of at most 1 MiB.
    assert len(encode_part(merge(merged.part, settlements, NOW).part)) < 1024 * 1024


@pytest.mark.parametrize(
    ("age_s", "retention_s", "expected"),
    [
        (0.0, 100.0, KeyAge.IN_TIME),
        (99.0, 100.0, KeyAge.IN_TIME),
        (101.0, 100.0, KeyAge.EXPIRED),
        (MAX_RETENTION_S + 1.0, 10 * MAX_RETENTION_S, KeyAge.EXPIRED),
        (-MAX_SKEW_S + 1.0, 100.0, KeyAge.IN_TIME),
        (-MAX_SKEW_S - 1.0, 100.0, KeyAge.FUTURE),
    ],
)
def test_age_of_a_key(age_s, retention_s, expected):
    assert key_age(uuid7(at=NOW), retention_s, NOW + age_s) is expected


def test_no_object_is_deletable_while_a_host_may_admit_its_keys():
    bucket = int(NOW // 3600)
    last_key = uuid7(at=(bucket + 1) * 3600 - 0.001)
    for skew_s in (-MAX_SKEW_S, MAX_SKEW_S):
        now = (bucket + 1) * 3600 + MAX_RETENTION_S + 2 * MAX_SKEW_S
        assert not is_deletable(bucket, now)
        # The object is deletable a moment later. By then even a host whose clock is `skew_s` slow
        # no longer admits its last key.
        assert key_age(last_key, MAX_RETENTION_S, now + 1.0 - skew_s) is KeyAge.EXPIRED


def test_keys_are_scoped_to_team_and_service():
    scopes = [KeyScope(t, s, uuid7()) for t in ("a", "b") for s in ("x", "y")]
    assert len({key_digest(scope) for scope in scopes}) == 4
    assert len({segment_of(scope).index for scope in scopes}) == 1


def test_different_requests_have_different_fingerprints():
    base = ("POST", "/orders", b"{}")
    others = [("PUT", "/orders", b"{}"), ("POST", "/orders?x", b"{}"), ("POST", "/orders", b"{ }")]
    assert fingerprint(*base) not in {fingerprint(*other) for other in others}


# A record with a field of a later version that is nested too deeply.
DEEP_RECORD = b"\x9a\xc4\x00\xa6absent\xa0\xa0\x01\x00\x00\x00\xc0" + b"\x91" * 5000 + b"\x01"


# The third object has the unknown format number 0x63; the fourth has an array in place of the map.
@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        b"junk",
        b"\x93\x63\xc2\x80",
        b"\x93\x01\xc2\x91\x01",
        b"\x93\x01\xc2\x81\xc4\x01x" + DEEP_RECORD,
    ],
)
def test_malformed_object_is_not_decoded_as_an_empty_one(data):
    assert decode_part(data).is_error()
    assert FORMAT_NUMBER != 0x63
