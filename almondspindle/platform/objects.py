"""Decode the objects of the platform's store into records."""

from collections.abc import Callable
from typing import Any, Literal

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

MS_PER_S = 1000.0
MAIN_MANIFEST = "main"
READY, DRAINING = "ready", "draining"
TOPIC_KINDS = {
    Topic.ROUTES: "config",
    Topic.TARGETS: "servers",
    Topic.ZONES: "evacuations",
    Topic.HOSTS: "almondspindle-hosts",
}
WORK_KINDS = {"stream": WorkKind.CHAT, "safe": WorkKind.READ, "unsafe": WorkKind.COMMIT}


class Meta(Struct):
    """What the store keeps of each object. `rev` is the revision of its last change."""

    name: str
    rev: int = 0
    deleting: bool = False


class StoreObject(Struct):
    """An object; `spec` stays encoded, since other writers may have put anything there."""

    meta: Meta
    spec: Raw = Raw(b"null")


class _Split(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0.0  # the latency objective
    priority: int = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    attempts: int = 1
    public: bool = False
    sticky: bool = False  # requests carry prompts
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Engine(Struct):
    slots: int = 1
    kv_tokens: int = 0
    link_mbps: float = 0.0  # between the memories of engines


class _Service(Struct):
    name: str
    max_conns: int = 64
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(Struct):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Manifest(Struct):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | UnsetType = UNSET


class _Replica(Struct):
    service: str
    addr: str
    zone: str
    state: Literal["ready", "draining"]
    slots: int = 1
    cold_left_ms: float = 0.0  # as of the write, not as of the read
    born: int = 0


class _Host(Struct):
    address: str
    zone: str


def decode_record(topic: Topic, raw: bytes) -> Record | None:
    """Return the record in `raw`, or None if not even its name can be read."""
    try:
        found = msgspec.json.decode(raw, type=StoreObject)
    except msgspec.DecodeError:
        return None
    value = _decode_value(topic, found)
    return Record(found.meta.name, found.meta.rev, value, bytes(raw))


def _decode_value(topic: Topic, found: StoreObject) -> RecordValue:
    try:
        return DECODERS[topic](found.meta.name, bytes(found.spec))
    except (msgspec.DecodeError, ValueError, KeyError) as exc:
        return UnreadableRecord(str(exc))


def _decode_manifest(name: str, spec: bytes) -> RecordValue:
    if name != MAIN_MANIFEST:
        return UnreadableRecord("not the manifest in force")
    found = msgspec.json.decode(spec, type=_Manifest)
    routes: dict[str, list[Route]] = {}
    for route in found.routes:
        routes.setdefault(route.host.lower(), []).append(_route(route))
    owners = None
    if found.tenants is not UNSET:
        owners = {
            key: KeyOwner(TeamName(tenant.name), tenant.priority)
            for tenant in found.tenants
            for key in tenant.api_keys
        }
    return RouteTable(
        version=found.version,
        routes={host: tuple(by_length(group)) for host, group in routes.items()},
        services={ServiceName(s.name): _service(s) for s in found.services},
        limits=RequestLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_ms / MS_PER_S,
            found.limits.idle_timeout_ms / MS_PER_S,
        ),
        key_owners=owners,
    )


def by_length(routes: list[Route]) -> list[Route]:
    """Return `routes` with the longest prefixes first."""
    return sorted(routes, key=lambda route: len(route.prefix), reverse=True)


def _route(found: _Route) -> Route:
    split = found.split or (_Split(found.service),)
    return Route(
        name=found.name,
        authority=found.host.lower(),
        prefix=found.prefix,
        work=WORK_KINDS[found.kind],
        shares=tuple(ServiceShare(ServiceName(s.service), s.weight) for s in split),
        timeout_s=found.timeout_ms / MS_PER_S,
        objective_s=found.latency_target_ms / MS_PER_S,
        gap_objective_s=found.gap_aim_ms / MS_PER_S,
        priority=found.priority,
        attempts=max(1, found.attempts),
        is_public=found.public,
        is_resumable=found.resumable,
        has_prompts=found.sticky,
    )


def _service(found: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=ServiceName(found.name),
        connection_limit=found.max_conns,
        cold_s=found.cold_s,
        cold_per_s=found.cold_per_s,
        engine=_engine(found.engine) if found.engine else None,
    )


def _engine(found: _Engine) -> Engine:
    return Engine(found.slots, found.kv_tokens, can_copy=found.link_mbps > 0)


def _decode_replica(name: str, spec: bytes) -> RecordValue:
    found = msgspec.json.decode(spec, type=_Replica)
    host, _, port = found.addr.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"the address {found.addr!r} is not IP:PORT")
    return TargetRecord(
        name=TargetName(name),
        service=ServiceName(found.service),
        address=found.addr,
        zone=ZoneName(found.zone),
        slots=max(1, found.slots),
        is_leaving=found.state == DRAINING,
        cold_left_s=max(0.0, found.cold_left_ms) / MS_PER_S,
        started_at_ms=found.born,
    )


def _decode_evacuation(name: str, spec: bytes) -> RecordValue:
    return ZoneExclusion(ZoneName(name))


def _decode_host(name: str, spec: bytes) -> RecordValue:
    found = msgspec.json.decode(spec, type=_Host)
    return HostRecord(HostName(name), found.address, ZoneName(found.zone))


def encode_host(record: HostRecord) -> dict[str, Any]:
    """Return the object that makes `record` known to the other hosts."""
    spec = {"address": record.address, "zone": record.zone}
    return {"meta": {"name": record.name, "finalizers": []}, "spec": spec}


DECODERS: dict[Topic, Callable[[str, bytes], RecordValue]] = {
    Topic.ROUTES: _decode_manifest,
    Topic.TARGETS: _decode_replica,
    Topic.ZONES: _decode_evacuation,
    Topic.HOSTS: _decode_host,
}
