"""Fetch snapshots of topics from peers over HTTP, and encode them for peers."""

from collections.abc import Callable
from typing import Any

import msgspec

from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.adapters.platform.transport import StoreTransport
from almondspindle.core.inventory import Record, Snapshot, Topic
from almondspindle.core.outcomes import Error, Ok, Result

TOPIC_PATH = "/topics/"
HTTP_OK = 200
PULL_TIMEOUT_S = 1.0

DecodeRecord = Callable[[Topic, bytes], Record | None]


class _WireSnapshot(msgspec.Struct):
    """The wire form of `Snapshot`.

    `records` has each record's bytes as stored. They include records that the sending host could
    not decode itself. `lapsing` is `Snapshot.retained`.
    """

    revision: int
    records: list[bytes]
    lapsing: dict[str, float] = {}


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return `snapshot` as the response body for a peer."""
    records = [record.raw for record in snapshot.records]
    return msgspec.msgpack.encode(
        _WireSnapshot(snapshot.revision, records, dict(snapshot.retained))
    )


class TopicClient:
    """Fetch topics from peers."""

    def __init__(self, decode_record: DecodeRecord) -> None:
        self._decode_record = decode_record

    async def fetch(self, address: str, topic: Topic) -> Result[Snapshot, StoreError]:
        """Return the snapshot of `topic` at the peer whose peer address is `address`.

        Records that this host can't decode are left out.
        """
        transport = StoreTransport(f"http://{address}")
        result = await transport.fetch(
            "GET", TOPIC_PATH + topic, frozenset({HTTP_OK}), timeout_s=PULL_TIMEOUT_S
        )
        return result.bind(lambda response: self._decode(topic, response.body))

    def _decode(self, topic: Topic, body: Any) -> Result[Snapshot, StoreError]:
        try:
            wire = msgspec.msgpack.decode(body, type=_WireSnapshot)
        except msgspec.DecodeError as exc:
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, f"malformed topic: {exc}"))
        decoded = [self._decode_record(topic, raw) for raw in wire.records]
        records = tuple(record for record in decoded if record is not None)
        return Ok(Snapshot(topic, wire.revision, records, wire.lapsing))
