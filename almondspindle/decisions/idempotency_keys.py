"""The form of idempotency keys: UUID version 7 (RFC 9562), which carries its time of birth."""

from dataclasses import replace
from uuid import UUID

from almondspindle.core.calls import Call, WorkKind
from almondspindle.core.outcomes import Ok, Outcome, Refusal, RefusalCode, RunState, refused

KEY_HEADER = "Idempotency-Key"
UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MS_PER_S = 1000.0


def parse_key(text: str | None) -> Outcome[UUID]:
    """Return the key in `text`, or a refusal that says what to mend."""
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
    """Return when `key` was made, in seconds since the Unix epoch."""
    return (key.int >> TIMESTAMP_SHIFT_BITS) / MS_PER_S


def qualify_run_state(call: Call, refusal: Refusal) -> Refusal:
    """Return what a refusal may say of `call` by the claim that it holds.

    Without a claim nobody has looked whether an earlier request with the key ran, so NOT_RUN
    would be more than is known. A key that could never be claimed leaves nothing to know.
    """
    may_have_run = call.work in (None, WorkKind.COMMIT) and call.claim_nonce is None
    if refusal.run_state is not RunState.NOT_RUN or not may_have_run:
        return refusal
    if parse_key(call.header(KEY_HEADER)).is_error():
        return refusal
    return replace(refusal, run_state=RunState.ATTEMPT_NOT_RUN)
