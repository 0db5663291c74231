"""Fetch updates of topics from peers over HTTP, and serve them to peers.

An update has only the records that the peer lacks, and of a large record only the parts that
changed. It is compressed, since a whole manifest can take most of a second on a slow link.
"""

import zlib
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import msgspec

from almondspindle.adapters.exchange.internal_server import NOT_FOUND, Reply
from almondspindle.adapters.exchange.patches import Part, apply_patch, make_patch
from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.adapters.platform.transport import StoreTransport
from almondspindle.core.inventory import (
    NO_REVISION,
    CopyVersion,
    Record,
    Revision,
    Snapshot,
    Topic,
    TopicUpdate,
)
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.decisions.store_eras import check_era
from almondspindle.utils.numbers import parse_digits

TOPIC_PATH = "/topics/"
HTTP_OK = 200
PULL_TIMEOUT_S = 1.0
MAX_UPDATE_BYTES = 32 * 1024 * 1024  # after decompression, as of a response of the store
COMPRESSION_LEVEL = 1  # higher levels take twice the time and save a few per cent
PATH_PARTS = 5  # a topic, two numbers and two eras
CACHED_REPLIES = 8  # most peers that pull at the same time have the same version

# The last argument is the highest revision that a record can have.
DecodeRecord = Callable[[Topic, bytes, Revision], Record | None]
GetUpdate = Callable[[Topic, CopyVersion], Awaitable[TopicUpdate]]


class _WirePatch(msgspec.Struct):
    """Parts that make a record's bytes out of its version at revision `base` of `base_era`."""

    base: int
    parts: list[bytes | tuple[int, int]]
    base_era: int = 0


class _WireUpdate(msgspec.Struct):
    """The wire form of `TopicUpdate`.

    `records` has the bytes of whole records as stored, and `patches` the patches of others by name.
    They include records that the sending host could not decode itself. `lapsing` is
    `TopicUpdate.retained`, and `lapsing_is_final` is `TopicUpdate.retention_is_final`. `newest` is
    the highest number of a revision of the changed records, which may be above `revision`. All
    revisions are of `era`, but for the records in `earlier_eras`. `changed` and `known` are the era
    and number of `TopicUpdate.last_change` and `TopicUpdate.known_from`.
    """

    revision: int
    records: list[bytes]
    patches: dict[str, _WirePatch] = {}
    unchanged: list[str] = []
    lapsing: dict[str, float] = {}
    lapsing_is_final: bool = False
    newest: int = 0
    era: int = 0
    earlier_eras: dict[str, int] = {}
    changed: tuple[int, int] = (0, 0)
    known: tuple[int, int] = (0, 0)


def encode_update(update: TopicUpdate) -> bytes:
    """Return `update` as the response body for a peer."""
    whole = [change.record.raw for change in update.changed if change.base is None]
    patches = {
        change.record.name: _WirePatch(
            change.base_revision.number,
            make_patch(change.base, change.record.raw),
            change.base_revision.era,
        )
        for change in update.changed
        if change.base is not None
    }
    revisions = {change.record.name: change.record.revision for change in update.changed}
    era = update.revision.era
    wire = _WireUpdate(
        update.revision.number,
        whole,
        patches,
        list(update.unchanged),
        dict(update.retained),
        update.retention_is_final,
        max((revision.number for revision in revisions.values()), default=0),
        era,
        {name: revision.era for name, revision in revisions.items() if revision.era != era},
        (update.last_change.era, update.last_change.number),
        (update.known_from.era, update.known_from.number),
    )
    return zlib.compress(msgspec.msgpack.encode(wire), COMPRESSION_LEVEL)


class TopicServer:
    """Serve updates of this host's topics at the path TOPIC/REVISION/NEWEST[/ERA/ERA].

    The numbers are those of the requester's `CopyVersion`, followed by the eras of both revisions
    unless they are 0.
    """

    def __init__(self, get_update: GetUpdate) -> None:
        self._get_update = get_update
        self._replies: OrderedDict[tuple[Topic, CopyVersion, Revision], Reply] = OrderedDict()

    async def respond(self, path: str) -> Reply:
        """Return the update for the requester's version, or status 404 for another path."""
        name, *numbers = path.split("/", PATH_PARTS)
        since = _parse_version(numbers)
        if since is None or name not in set(Topic):
            return NOT_FOUND
        update = await self._get_update(Topic(name), since)
        key = (update.topic, since, update.revision)
        cached = self._replies.get(key)
        # Retention times change while the revision stays the same.
        if cached is not None and not update.retained:
            return cached
        reply = Reply(HTTP_OK, encode_update(update), "application/octet-stream")
        if not update.retained:
            self._replies[key] = reply
            if len(self._replies) > CACHED_REPLIES:
                self._replies.popitem(last=False)
        return reply


class TopicClient:
    """Fetch topics from peers."""

    def __init__(self, decode_record: DecodeRecord) -> None:
        self._decode_record = decode_record

    async def fetch(
        self, address: str, base: Snapshot, response_timeout_s: float
    ) -> Result[Snapshot, StoreError]:
        """Return the newer snapshot of the topic of `base` at the peer with peer address `address`.

        `base` is this host's copy of the topic. Records that this host can't decode are left out.
        If the peer's update doesn't fit `base`, the whole topic is fetched. Each response must
        begin within `response_timeout_s` seconds.
        """
        result = await self._fetch(address, base, response_timeout_s)
        if result.is_error() and result.error.code is StoreErrorCode.MALFORMED:
            return await self._fetch(
                address, Snapshot(base.topic, NO_REVISION, ()), response_timeout_s
            )
        return result

    async def _fetch(
        self, address: str, base: Snapshot, response_timeout_s: float
    ) -> Result[Snapshot, StoreError]:
        newest = max((record.revision for record in base.records), default=NO_REVISION)
        path = f"{TOPIC_PATH}{base.topic}/{_format_version(CopyVersion(base.revision, newest))}"
        transport = StoreTransport(f"http://{address}")
        result = await transport.fetch(
            "GET",
            path,
            frozenset({HTTP_OK}),
            timeout_s=PULL_TIMEOUT_S,
            response_timeout_s=response_timeout_s,
        )
        return result.bind(lambda response: self._decode(base, response.body))

    def _decode(self, base: Snapshot, body: bytes) -> Result[Snapshot, StoreError]:
        own = {record.name: record for record in base.records}
        try:
            wire = msgspec.msgpack.decode(_decompress(body), type=_WireUpdate)
            patched = [_patch(own, name, patch) for name, patch in wire.patches.items()]
            unchanged = [own[name] for name in wire.unchanged]
            for era in (wire.era, wire.changed[0], wire.known[0], *wire.earlier_eras.values()):
                check_era(era)
        except (zlib.error, ValueError, KeyError, RecursionError) as exc:
            text = f"malformed update of topic {base.topic}: {exc!r}"
            return Error(StoreError(StoreErrorCode.MALFORMED, text))
        limit = Revision(wire.era, max(wire.revision, wire.newest))
        raws = [*wire.records, *patched]
        decoded = [self._decode_record(base.topic, raw, limit) for raw in raws]
        changed = [_with_era(record, wire) for record in decoded if record is not None]
        revision = Revision(wire.era, wire.revision)
        records = (*unchanged, *changed)
        return Ok(
            Snapshot(
                base.topic,
                revision,
                records,
                wire.lapsing,
                wire.lapsing_is_final,
                Revision(*wire.changed),
                Revision(*wire.known),
            )
        )


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"truncated, or more than {MAX_UPDATE_BYTES} bytes")
    return data


def _format_version(version: CopyVersion) -> str:
    revision, newest = version.revision, version.newest
    numbers = f"{revision.number}/{newest.number}"
    return f"{numbers}/{revision.era}/{newest.era}" if revision.era or newest.era else numbers


def _parse_version(numbers: list[str]) -> CopyVersion | None:
    match [parse_digits(number) for number in numbers]:
        case [int(revision), int(newest)]:
            return CopyVersion(Revision(0, revision), Revision(0, newest))
        case [int(revision), int(newest), int(era), int(newest_era)]:
            return CopyVersion(Revision(era, revision), Revision(newest_era, newest))
    return None


def _with_era(record: Record, wire: _WireUpdate) -> Record:
    era = wire.earlier_eras.get(record.name, wire.era)
    return replace(record, revision=Revision(era, record.revision.number))


def _patch(own: Mapping[str, Record], name: str, patch: _WirePatch) -> bytes:
    base = own[name]
    if base.revision != Revision(patch.base_era, patch.base):
        raise ValueError(f"the base of {name} is revision {patch.base}, not {base.revision}")
    parts: list[Part] = list(patch.parts)
    return apply_patch(base.raw, parts)
