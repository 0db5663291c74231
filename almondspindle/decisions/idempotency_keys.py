"""Parse idempotency keys: UUIDs of version 7 (RFC 9562), which contain their creation time."""

from dataclasses import replace
from uuid import UUID

from almondspindle.core.calls import Call, WorkKind
from almondspindle.core.outcomes import Ok, Outcome, Refusal, RefusalCode, RunState, refused

KEY_HEADER = "Idempotency-Key"
UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MS_PER_S = 1000.0


def parse_key(text: str | None) -> Outcome[UUID]:
    """Return the key in `text`, or a refusal that says how to correct the request."""
    if not text:
        return refused(
            RefusalCode.KEY_MISSING,
            "send an Idempotency-Key header with a UUID version 7; requests that change state"
            " need one",
        )
    try:
        key = UUID(text)
    except ValueError:
        return refused(RefusalCode.KEY_MALFORMED, f"Idempotency-Key {text[:64]!r} is not a UUID")
    if key.version != UUID_VERSION:
        return refused(
            RefusalCode.KEY_MALFORMED,
            f"Idempotency-Key has UUID version {key.version}; send version 7 (RFC 9562)",
        )
    return Ok(key)


def key_created_at_s(key: UUID) -> float:
    """Return when `key` was created, in seconds since the Unix epoch."""
    return (key.int >> TIMESTAMP_SHIFT_BITS) / MS_PER_S


def qualify_run_state(call: Call, refusal: Refusal) -> Refusal:
    """Return `refusal` with the run state that is known for `call`.

    Without a claim, nobody has checked whether an earlier request with the same key ran. So
    NOT_RUN becomes ATTEMPT_NOT_RUN, unless the key is invalid and could never have been claimed.
    """
    may_have_run = call.work in (None, WorkKind.COMMIT) and call.claim_nonce is None
    if refusal.run_state is not RunState.NOT_RUN or not may_have_run:
        return refusal
    if parse_key(call.header(KEY_HEADER)).is_error():
        return refusal
    return replace(refusal, run_state=RunState.ATTEMPT_NOT_RUN)
