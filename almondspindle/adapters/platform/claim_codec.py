"""Encode the records of claims as they stand in the store.

An object is a MessagePack array: form number, sealed flag, records by key digest. Records travel
as arrays of their fields. msgspec checks each field when it decodes.
"""

import msgspec

from almondspindle.core.calls import Headers
from almondspindle.core.claims import ClaimRecord, ClaimState, RecordedResponse
from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.decisions.claims import PartRecords, record_bytes

FORM = 1


class StoredAnswer(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """An answer as stored; the fields are those of `KeptAnswer`."""

    status: int
    target: str
    headers: Headers = ()
    body: bytes | None = None


class StoredRecord(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """A record as stored; the fields are those of `ClaimRecord`."""

    fingerprint: bytes
    state: ClaimState
    nonce: str
    holder: str
    attempt: int
    claimed_at: float
    may_send_until: float
    settled_at: float = 0.0
    answer: StoredAnswer | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[int, bool, dict[bytes, StoredRecord]])


def encode_part(part: PartRecords) -> bytes:
    """Return the object that holds `part`."""
    records = {digest: _stored(record) for digest, record in part.records.items()}
    return _ENCODER.encode((FORM, part.sealed, records))


def decode_part(data: bytes) -> Result[PartRecords, str]:
    """Return the part in `data`, or what is wrong with it. An absent object is an empty part."""
    if not data:
        return Ok(PartRecords())
    try:
        form, sealed, stored = _DECODER.decode(data)
    except msgspec.DecodeError as exc:
        return Error(str(exc))
    if form != FORM:
        return Error(f"form {form} is not known; this program reads form {FORM}")
    records = {digest: _record(record) for digest, record in stored.items()}
    return Ok(PartRecords(records, sealed, sum(map(record_bytes, records.values()))))


def _stored(record: ClaimRecord) -> StoredRecord:
    return StoredRecord(
        record.fingerprint,
        record.state,
        record.nonce,
        record.holder,
        record.attempt,
        record.claimed_at,
        record.may_send_until,
        record.settled_at,
        _stored_answer(record.answer) if record.answer else None,
    )


def _stored_answer(answer: RecordedResponse) -> StoredAnswer:
    return StoredAnswer(answer.status, answer.target, answer.headers, answer.body)


def _record(stored: StoredRecord) -> ClaimRecord:
    return ClaimRecord(
        stored.fingerprint,
        stored.state,
        stored.nonce,
        HostName(stored.holder),
        stored.attempt,
        stored.claimed_at,
        stored.may_send_until,
        stored.settled_at,
        _answer(stored.answer) if stored.answer else None,
    )


def _answer(stored: StoredAnswer) -> RecordedResponse:
    return RecordedResponse(stored.status, TargetName(stored.target), stored.headers, stored.body)
