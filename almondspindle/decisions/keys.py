"""The form of idempotency keys: UUID version 7 (RFC 9562), which carries its time of birth."""

from uuid import UUID

from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused

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


def key_time_s(key: UUID) -> float:
    """Return when `key` was made, in seconds since the Unix epoch."""
    return (key.int >> TIMESTAMP_SHIFT_BITS) / MS_PER_S
