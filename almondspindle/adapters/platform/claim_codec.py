"""Encode and decode the stored records of claims.

A stored object holds one part of a segment. It is a MessagePack array of the format number, the
sealed flag and the records by key digest. A record is encoded as the array of its fields. msgspec
validates each field when it decodes.
"""

import msgspec

from almondspindle.core.calls import Headers
from almondspindle.core.claims import ClaimRecord, ClaimState
from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.recorded_responses import RecordedResponse
from almondspindle.decisions.claims import PartRecords, record_bytes

FORMAT_NUMBER = 1


class StoredResponse(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """The stored form of `RecordedResponse`, with the same fields."""

    status: int
    target: str
    headers: Headers = ()
    body: bytes | None = None


class StoredRecord(msgspec.Struct, array_like=True, frozen=True, omit_defaults=True):
    """The stored form of `ClaimRecord`, with the same fields."""

    fingerprint: bytes
    state: ClaimState
    nonce: str
    holder: str
    attempt: int
    claimed_at: float
    may_send_until: float
    settled_at: float = 0.0
    answer: StoredResponse | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[int, bool, dict[bytes, StoredRecord]])


def encode_part(part: PartRecords) -> bytes:
    """Return `part` as the value of a stored object."""
    records = {digest: _to_stored_record(record) for digest, record in part.records.items()}
    return _ENCODER.encode((FORMAT_NUMBER, part.sealed, records))


def decode_part(data: bytes) -> Result[PartRecords, str]:
    """Return the part in `data`, or an error message. Empty `data` is an empty part.

    The value of an object that does not exist is empty.
    """
    if not data:
        return Ok(PartRecords())
    try:
        format_number, sealed, stored = _DECODER.decode(data)
    except (ValueError, RecursionError) as exc:
        return Error(str(exc))
    if format_number != FORMAT_NUMBER:
        return Error(f"unknown format {format_number}; this program reads format {FORMAT_NUMBER}")
    records = {digest: _from_stored_record(record) for digest, record in stored.items()}
    return Ok(PartRecords(records, sealed, sum(map(record_bytes, records.values()))))


def _to_stored_record(record: ClaimRecord) -> StoredRecord:
    return StoredRecord(
        record.fingerprint,
        record.state,
        record.nonce,
        record.holder,
        record.attempt,
        record.claimed_at,
        record.may_send_until,
        record.settled_at,
        _to_stored_response(record.answer) if record.answer else None,
    )


def _to_stored_response(response: RecordedResponse) -> StoredResponse:
    return StoredResponse(response.status, response.target, response.headers, response.body)


def _from_stored_record(stored: StoredRecord) -> ClaimRecord:
    return ClaimRecord(
        stored.fingerprint,
        stored.state,
        stored.nonce,
        HostName(stored.holder),
        stored.attempt,
        stored.claimed_at,
        stored.may_send_until,
        stored.settled_at,
        _from_stored_response(stored.answer) if stored.answer else None,
    )


def _from_stored_response(stored: StoredResponse) -> RecordedResponse:
    return RecordedResponse(stored.status, TargetName(stored.target), stored.headers, stored.body)
