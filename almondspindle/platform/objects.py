"""Decode objects of the platform's store into records, and encode this host's own object."""

from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import UNSET, Raw, Struct, UnsetType

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, TeamName, ZoneName
from almondspindle.core.inventory import (
    HostRecord,
    Record,
    RecordValue,
    TargetRecord,
    Topic,
    UnreadableRecord,
    ZoneExclusion,
)
from almondspindle.core.routes import (
    Engine,
    KeyOwner,
    RequestLimits,
    Route,
    RouteTable,
    ServiceShare,
    ServiceSpec,
)
from almondspindle.platform.splitting import split_members
from almondspindle.utils.addresses import check_address

MS_PER_S = 1000.0
MAIN_MANIFEST = "main"
READY, DRAINING = "ready", "draining"
MAX_NAME_LENGTH = 255  # names are in headers and in each report
MAX_REASON_LENGTH = 200  # of the text on an object that can't be decoded
# Beyond these, numbers can't be computed with exactly, or give one target or host all the work.
MAX_COUNT = 2**53
MAX_AMOUNT = 1e12
MAX_SLOTS = 100_000
MAX_COLD_MS = 24 * 3600 * MS_PER_S
MAX_LINK_MBPS = 1e6
OBJECT_KINDS = {
    Topic.ROUTES: "config",
    Topic.TARGETS: "servers",
    Topic.ZONES: "evacuations",
    Topic.HOSTS: "almondspindle-hosts",
}
WORK_KINDS = {"stream": WorkKind.CHAT, "safe": WorkKind.READ, "unsafe": WorkKind.COMMIT}


class Meta(Struct):
    """Metadata that the store keeps for each object. `rev` is the revision of its last change."""

    name: str
    rev: int = 0
    deleting: bool = False


class StoreObject(Struct):
    """An object of the store.

    `spec` is left encoded, since other writers may have stored any JSON value there.
    """

    meta: Meta
    spec: Raw = Raw(b"null")


Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AMOUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Split(Struct):
    service: str
    weight: Amount = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Amount
    latency_target_ms: Amount = 0.0
    priority: Count = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    attempts: Count = 1
    public: bool = False
    sticky: bool = False  # requests have prompts
    resumable: bool = False
    gap_aim_ms: Amount = 0.0


class _Engine(Struct):
    slots: Count = 1
    kv_tokens: Count = 0
    link_mbps: Amount = 0.0  # bandwidth for copying prompts between engines


class _Service(Struct):
    name: str
    max_conns: Count = 64
    cold_s: Amount = 0.0
    cold_per_s: Amount = 0.0
    engine: _Engine | None = None


class _Limits(Struct):
    max_header_bytes: Count = 16 * 1024
    max_body_bytes: Count = 4 * 1024 * 1024
    header_timeout_ms: Amount = 3000.0
    idle_timeout_ms: Amount = 15000.0


class _Tenant(Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Count | None = None


class _Manifest(Struct):
    version: Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | UnsetType = UNSET


class _Replica(Struct):
    service: str
    addr: str
    zone: str
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 1
    # From when the object was written, not from when it is read.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0
    born: Count = 0


class _Host(Struct):
    address: str
    zone: str
    link_mbps: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LINK_MBPS)] = 0.0


def decode_record(topic: Topic, raw: bytes, store_revision: int | None = None) -> Record | None:
    """Return the record in `raw`, or None if its name can't be decoded.

    If anything else of it can't be decoded or used, the record's value is an `UnreadableRecord`.
    So it is if its revision isn't one that the store has given by `store_revision`, which becomes
    the record's revision. None stands for a store whose revision isn't known.
    """
    stored = _split_object(raw)
    if stored is None:
        return None
    name, revision, fault = stored.name, stored.revision, stored.fault
    if store_revision is not None and not 0 < revision <= store_revision:
        fault = fault or UnreadableRecord("the revision is not one of the store's")
        revision = store_revision
    value = fault or _decode_value(topic, name, stored.spec)
    return Record(name, revision, value, bytes(raw))


class _SplitObject(NamedTuple):
    """The parts of a stored object. `fault` is set if they can't be used."""

    name: str
    revision: int
    spec: bytes
    fault: UnreadableRecord | None = None


def _split_object(raw: bytes) -> _SplitObject | None:
    try:
        stored = msgspec.json.decode(raw, type=StoreObject)
        return _SplitObject(stored.meta.name, stored.meta.rev, bytes(stored.spec))
    except (msgspec.DecodeError, RecursionError) as exc:
        fault = UnreadableRecord(_shorten(str(exc)))
    try:
        meta = split_members(split_members(raw)[b"meta"])
        name = msgspec.json.decode(meta[b"name"], type=str)
    except (KeyError, ValueError, RecursionError):
        return None
    return _SplitObject(name, _decode_revision(meta.get(b"rev", b"")), b"", fault)


def _decode_revision(text: bytes) -> int:
    try:
        return msgspec.json.decode(text, type=int)
    except (msgspec.DecodeError, RecursionError):
        return 0


def _decode_value(topic: Topic, name: str, spec: bytes) -> RecordValue:
    try:
        _check_name(name)
        return DECODERS[topic](name, spec)
    except (msgspec.DecodeError, ValueError, KeyError, RecursionError) as exc:
        return UnreadableRecord(_shorten(str(exc)))


def _check_name(name: str) -> None:
    """Raise `ValueError` for a name that can't be sent in a header or in a report."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"the name has {len(name)} characters")
    if not name.isprintable():
        raise ValueError("the name has control characters")


def _shorten(reason: str) -> str:
    return reason[:MAX_REASON_LENGTH]


def _decode_manifest(name: str, spec: bytes) -> RecordValue:
    if name != MAIN_MANIFEST:
        return UnreadableRecord("not the main manifest, which is the only one in use")
    manifest = msgspec.json.decode(spec, type=_Manifest)
    routes: dict[str, list[Route]] = {}
    for route in manifest.routes:
        routes.setdefault(route.host.lower(), []).append(_to_route(route))
    owners = None
    if manifest.tenants is not UNSET:
        owners = {
            key: KeyOwner(TeamName(tenant.name), tenant.priority)
            for tenant in manifest.tenants
            for key in tenant.api_keys
        }
    return RouteTable(
        version=manifest.version,
        routes={host: tuple(sort_by_prefix_length(group)) for host, group in routes.items()},
        services={ServiceName(s.name): _to_service_spec(s) for s in manifest.services},
        limits=RequestLimits(
            manifest.limits.max_header_bytes,
            manifest.limits.max_body_bytes,
            manifest.limits.header_timeout_ms / MS_PER_S,
            manifest.limits.idle_timeout_ms / MS_PER_S,
        ),
        key_owners=owners,
    )


def sort_by_prefix_length(routes: list[Route]) -> list[Route]:
    """Return `routes` sorted by the length of their prefixes, longest first."""
    return sorted(routes, key=lambda route: len(route.prefix), reverse=True)


def _to_route(route: _Route) -> Route:
    split = route.split or (_Split(route.service),)
    return Route(
        name=route.name,
        authority=route.host.lower(),
        prefix=route.prefix,
        work=WORK_KINDS[route.kind],
        shares=tuple(ServiceShare(ServiceName(s.service), s.weight) for s in split),
        timeout_s=route.timeout_ms / MS_PER_S,
        objective_s=route.latency_target_ms / MS_PER_S,
        gap_objective_s=route.gap_aim_ms / MS_PER_S,
        priority=route.priority,
        attempts=max(1, route.attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        has_prompts=route.sticky,
    )


def _to_service_spec(service: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=ServiceName(service.name),
        connection_limit=service.max_conns,
        cold_s=service.cold_s,
        cold_per_s=service.cold_per_s,
        engine=_to_engine(service.engine) if service.engine else None,
    )


def _to_engine(engine: _Engine) -> Engine:
    return Engine(engine.slots, engine.kv_tokens, can_copy=engine.link_mbps > 0)


def _decode_replica(name: str, spec: bytes) -> RecordValue:
    replica = msgspec.json.decode(spec, type=_Replica)
    check_address(replica.addr)
    return TargetRecord(
        name=TargetName(name),
        service=ServiceName(replica.service),
        address=replica.addr,
        zone=ZoneName(replica.zone),
        slots=max(1, replica.slots),
        is_leaving=replica.state == DRAINING,
        cold_left_s=max(0.0, replica.cold_left_ms) / MS_PER_S,
        started_at_ms=replica.born,
    )


def _decode_evacuation(name: str, spec: bytes) -> RecordValue:
    return ZoneExclusion(ZoneName(name))


def _decode_host(name: str, spec: bytes) -> RecordValue:
    host = msgspec.json.decode(spec, type=_Host)
    check_address(host.address)
    return HostRecord(HostName(name), host.address, ZoneName(host.zone), host.link_mbps)


def encode_host(record: HostRecord) -> dict[str, Any]:
    """Return the store object for `record`, from which other hosts find this one."""
    spec = {"address": record.address, "zone": record.zone, "link_mbps": record.link_mbps}
    return {"meta": {"name": record.name, "finalizers": []}, "spec": spec}


DECODERS: dict[Topic, Callable[[str, bytes], RecordValue]] = {
    Topic.ROUTES: _decode_manifest,
    Topic.TARGETS: _decode_replica,
    Topic.ZONES: _decode_evacuation,
    Topic.HOSTS: _decode_host,
}
