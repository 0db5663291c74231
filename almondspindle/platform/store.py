"""Call the platform's store and decode its responses into records."""

from typing import TypeVar

import msgspec
from msgspec import Raw, Struct
from tornado.httpclient import HTTPResponse

from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.adapters.platform.transport import StoreTransport
from almondspindle.core.inventory import (
    HistoryUnavailable,
    HostRecord,
    Record,
    RecordChange,
    Snapshot,
    Topic,
    TopicChanges,
)
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.platform.objects import OBJECT_KINDS, StoreObject, decode_record, encode_host

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_CONFLICT = 409
HTTP_GONE = 410
READ_TIMEOUT_S = 1.0  # the store usually responds within 4 ms, but may be some 50 times slower
WRITE_TIMEOUT_S = 2.0
T = TypeVar("T")
JSON_HEADERS = {"Content-Type": "application/json"}


class _Page(Struct):
    items: list[Raw]
    store_revision: int
    more: bool = False


class _Event(Struct):
    object: Raw
    deleted: bool = False


class _Events(Struct):
    events: list[_Event]
    store_revision: int


class PlatformStore:
    """Read, watch and write the platform's objects."""

    def __init__(self, address: str) -> None:
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Send later calls to the store at `address`."""
        self._transport = StoreTransport(f"http://{address}")

    async def read(self, topic: Topic) -> Result[Snapshot, StoreError]:
        """Return all records of `topic`.

        The snapshot gets the revision of its first page, since later changes may be missing from
        it. Records whose metadata cannot be decoded are left out.
        """
        records: list[Record] = []
        revision: int | None = None
        after = ""
        while True:
            page = await self._read_page(topic, after)
            if page.is_error():
                return Error(page.error)
            decoded = [decode_record(topic, bytes(raw)) for raw in page.ok.items]
            records.extend(record for record in decoded if record is not None)
            revision = page.ok.store_revision if revision is None else revision
            last = _last_name(page.ok.items)
            if not page.ok.more or last is None:
                return Ok(Snapshot(topic, revision, tuple(records)))
            after = last

    async def _read_page(self, topic: Topic, after: str) -> Result[_Page, StoreError]:
        path = _collection_path(topic) + (f"?after={after}" if after else "")
        result = await self._transport.fetch(
            "GET", path, frozenset({HTTP_OK}), timeout_s=READ_TIMEOUT_S
        )
        return result.bind(lambda response: _decode(response, _Page))

    async def watch(
        self, topic: Topic, after: int, wait_s: float
    ) -> Result[TopicChanges | HistoryUnavailable, StoreError]:
        """Return the changes of `topic` after revision `after`.

        Wait up to `wait_s` seconds for a change. Return `HistoryUnavailable` if the store no
        longer has all changes since `after`; the topic must then be read again.
        """
        path = f"{_collection_path(topic)}?watch={after}&wait_ms={int(wait_s * 1000)}"
        result = await self._transport.fetch(
            "GET", path, frozenset({HTTP_OK, HTTP_GONE}), timeout_s=wait_s + READ_TIMEOUT_S
        )
        return result.bind(lambda response: _decode_changes(topic, response))

    async def announce(self, record: HostRecord) -> Result[None, StoreError]:
        """Write `record` to the store, where other hosts find it. Replace any previous record."""
        body = msgspec.json.encode(encode_host(record))
        path = _collection_path(Topic.HOSTS)
        accepted = frozenset({HTTP_OK, HTTP_CREATED, HTTP_CONFLICT})
        created = await self._transport.fetch(
            "POST", path, accepted, body, JSON_HEADERS, WRITE_TIMEOUT_S
        )
        if created.is_error() or created.ok.code != HTTP_CONFLICT:
            return created.map(lambda _: None)
        replaced = await self._transport.fetch(
            "PUT", f"{path}/{record.name}", accepted, body, JSON_HEADERS, WRITE_TIMEOUT_S
        )
        return replaced.map(lambda _: None)


def _collection_path(topic: Topic) -> str:
    return f"/-/objects/{OBJECT_KINDS[topic]}"


def _last_name(items: list[Raw]) -> str | None:
    if not items:
        return None
    return msgspec.json.decode(items[-1], type=StoreObject).meta.name


def _decode(response: HTTPResponse, kind: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(msgspec.json.decode(response.body, type=kind))
    except msgspec.DecodeError as exc:
        return Error(StoreError(StoreErrorCode.UNAVAILABLE, f"invalid response: {exc}"))


def _decode_changes(
    topic: Topic, response: HTTPResponse
) -> Result[TopicChanges | HistoryUnavailable, StoreError]:
    if response.code == HTTP_GONE:
        return Ok(HistoryUnavailable(topic))
    return _decode(response, _Events).map(lambda events: _to_changes(topic, events))


def _to_changes(topic: Topic, response: _Events) -> TopicChanges:
    changes = []
    for event in response.events:
        record = decode_record(topic, bytes(event.object))
        if record is not None:
            changes.append(RecordChange(record, event.deleted))
    return TopicChanges(topic, response.store_revision, tuple(changes))
