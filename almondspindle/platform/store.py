"""Call the platform's store and decode its responses into records."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Raw
from tornado.httpclient import HTTPResponse

from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.adapters.platform.transport import StoreTransport
from almondspindle.core.events import ERA_DOUBTED, RECORD_UNREADABLE
from almondspindle.core.inventory import (
    HistoryUnavailable,
    HostRecord,
    Record,
    RecordChange,
    Revision,
    Snapshot,
    Topic,
    TopicChanges,
)
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.rollouts import OUTCOMES, RolloutKey, RolloutRecord, RolloutState
from almondspindle.decisions.store_eras import MAX_ERA, KnownEra, after_response, is_plausible
from almondspindle.platform.objects import (
    MAX_REASON_LENGTH,
    OBJECT_KINDS,
    decode_record,
    encode_host,
    encode_rollout_status,
)
from almondspindle.platform.pages import Events, Page, decode_events, decode_page
from almondspindle.utils.numbers import parse_digits

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
READ_TIMEOUT_S = 1.0  # the store usually responds within 4 ms, but may be some 50 times slower
WRITE_TIMEOUT_S = 2.0
MAX_REREADS = 3  # of a list, because of the era
T = TypeVar("T")
JSON_HEADERS = {"Content-Type": "application/json"}
ERA_HEADER = "Store-Era"


class PlatformStore:
    """Read, watch and write the platform's objects."""

    def __init__(self, address: str) -> None:
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Send later calls to the store at `address`."""
        self._transport = StoreTransport(f"http://{address}")
        self._known_era = KnownEra()

    async def read(self, topic: Topic) -> Result[Snapshot, StoreError]:
        """Return all records of `topic`.

        The snapshot gets the revision of its first page, since later changes may be missing from
        it. It is read again from the start if the store's era changes in between, or isn't to be
        believed. Objects whose names can't be decoded are left out. If there is no name from which
        to read on, the result is an error.
        """
        rereads = 0
        records: list[Record] = []
        revision: Revision | None = None
        after = ""
        used = {after}
        while True:
            result = await self._read_page(topic, after)
            if result.is_error():
                return Error(result.error)
            page, page_revision = result.ok
            is_other = revision is not None and page_revision and page_revision.era != revision.era
            if page_revision is None or is_other:
                rereads += 1
                if rereads > MAX_REREADS:
                    text = f"the era changed {rereads} times during a read"
                    return Error(StoreError(StoreErrorCode.MALFORMED, text))
                records, revision, after, used = [], None, "", {""}
                continue
            decoded = _decode_objects(topic, page.items, page_revision)
            records.extend(decoded)
            revision = page_revision if revision is None else revision
            if not page.more or not page.items:
                return Ok(Snapshot(topic, revision, tuple(records)))
            # A name that was used already would lead to the same pages again.
            names = [record.name for record in decoded if record.name not in used]
            if not names:
                text = f"no object on the page after {after!r} has a name from which to read on"
                return Error(StoreError(StoreErrorCode.MALFORMED, text))
            after = names[-1]
            used.add(after)

    async def _read_page(
        self, topic: Topic, after: str
    ) -> Result[tuple[Page, Revision | None], StoreError]:
        path = _collection_path(topic) + (f"?after={quote(after, safe='')}" if after else "")
        result = await self._transport.fetch(
            "GET", path, frozenset({HTTP_OK}), timeout_s=READ_TIMEOUT_S
        )
        if result.is_error():
            return Error(result.error)
        era = self._era_of(result.ok)
        decoded = _decode(result.ok, decode_page)
        return decoded.map(
            lambda page: (page, None if era is None else Revision(era, page.store_revision))
        )

    async def watch(
        self, topic: Topic, after: Revision, wait_s: float
    ) -> Result[TopicChanges | HistoryUnavailable, StoreError]:
        """Return the changes of `topic` after revision `after`.

        Wait up to `wait_s` seconds for a change. Return `HistoryUnavailable` if the store no
        longer has all changes since `after`, or is in another era; the topic must then be read
        again.
        """
        path = f"{_collection_path(topic)}?watch={after.number}&wait_ms={int(wait_s * 1000)}"
        result = await self._transport.fetch(
            "GET", path, frozenset({HTTP_OK, HTTP_GONE}), timeout_s=wait_s + READ_TIMEOUT_S
        )
        if result.is_error():
            return Error(result.error)
        era = self._era_of(result.ok)
        if result.ok.code == HTTP_GONE or era is None or era != after.era:
            return Ok(HistoryUnavailable(topic))
        return _decode_changes(topic, result.ok, era)

    def _era_of(self, response: HTTPResponse) -> int | None:
        """Return the era that `response` states, or the highest known one if it states none.

        Return None if it isn't to be believed before another response states it.
        """
        era = parse_digits(response.headers.get(ERA_HEADER, ""))
        if era is None or era > MAX_ERA:
            return self._known_era.highest
        is_believed = is_plausible(self._known_era, era)
        if not is_believed:
            emit(ERA_DOUBTED, stated=era, highest=self._known_era.highest)
        self._known_era = after_response(self._known_era, era)
        return era if is_believed else None

    def _era_of_write(self, response: HTTPResponse) -> int:
        era = self._era_of(response)
        return self._known_era.highest if era is None else era

    async def announce(self, record: HostRecord) -> Result[int, StoreError]:
        """Write `record` to the store, where other hosts find it. Replace any previous record.

        Return the era in which the store accepted it.
        """
        body = msgspec.json.encode(encode_host(record))
        path = _collection_path(Topic.HOSTS)
        accepted = frozenset({HTTP_OK, HTTP_CREATED, HTTP_CONFLICT})
        created = await self._transport.fetch(
            "POST", path, accepted, body, JSON_HEADERS, WRITE_TIMEOUT_S
        )
        if created.is_error() or created.ok.code != HTTP_CONFLICT:
            return created.map(self._era_of_write)
        replaced = await self._transport.fetch(
            "PUT",
            f"{path}/{quote(record.name, safe='')}",
            accepted,
            body,
            JSON_HEADERS,
            WRITE_TIMEOUT_S,
        )
        return replaced.map(self._era_of_write)

    async def report_rollout(
        self, name: str, key: RolloutKey, state: RolloutState
    ) -> Result[RolloutRecord | None, StoreError]:
        """Write the state of a roll-out as the status of its object, and return the roll-out.

        Nothing is written if the object is that of another roll-out, has this state or an outcome,
        or changes meanwhile. The result is None if it has no readable roll-out. After an error the
        write may have taken effect, so the object is read before each write.
        """
        path = f"{_collection_path(Topic.ROLLOUTS)}/{quote(name, safe='')}"
        accepted = frozenset({HTTP_OK, HTTP_NOT_FOUND})
        read = await self._transport.fetch("GET", path, accepted, timeout_s=READ_TIMEOUT_S)
        if read.is_error():
            return Error(read.error)
        known = _decode_rollout(read.ok)
        if known is None or known.key != key or known.state in (state, *OUTCOMES):
            return Ok(known)
        body = encode_rollout_status(read.ok.body, state, key.version)
        written = await self._transport.fetch(
            "PUT",
            f"{path}/status",
            accepted | {HTTP_CONFLICT},
            body,
            JSON_HEADERS,
            WRITE_TIMEOUT_S,
        )
        return written.map(_decode_rollout)


def _decode_rollout(response: HTTPResponse) -> RolloutRecord | None:
    record = decode_record(Topic.ROLLOUTS, response.body)
    value = record.value if record is not None else None
    return value if isinstance(value, RolloutRecord) else None


def _collection_path(topic: Topic) -> str:
    return f"/-/objects/{OBJECT_KINDS[topic]}"


def _decode_objects(topic: Topic, objects: list[Raw], store_revision: Revision) -> list[Record]:
    decoded = [_decode_object(topic, raw, store_revision) for raw in objects]
    return [record for record in decoded if record is not None]


def _decode_object(topic: Topic, raw: Raw, store_revision: Revision) -> Record | None:
    record = decode_record(topic, bytes(raw), store_revision)
    if record is None:
        emit(RECORD_UNREADABLE, topic=topic, reason="the name can't be decoded")
    return record


def _decode(response: HTTPResponse, decode: Callable[[bytes], T]) -> Result[T, StoreError]:
    try:
        return Ok(decode(response.body))
    except (ValueError, RecursionError) as exc:
        return Error(StoreError(StoreErrorCode.MALFORMED, f"invalid response: {exc}"))


def _decode_changes(
    topic: Topic, response: HTTPResponse, era: int
) -> Result[TopicChanges | HistoryUnavailable, StoreError]:
    events = _decode(response, decode_events)
    if events.is_error():
        # The list has only the latest version of each object, and may be readable.
        emit(RECORD_UNREADABLE, topic=topic, reason=events.error.message[:MAX_REASON_LENGTH])
        return Ok(HistoryUnavailable(topic))
    return Ok(_to_changes(topic, events.ok, Revision(era, events.ok.store_revision)))


def _to_changes(topic: Topic, response: Events, store_revision: Revision) -> TopicChanges:
    changes = []
    for event in response.events:
        record = _decode_object(topic, event.object, store_revision)
        if record is not None:
            changes.append(RecordChange(record, event.deleted))
    return TopicChanges(topic, store_revision, tuple(changes))
