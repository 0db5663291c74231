"""Decode objects of the platform's store into records, and encode this host's own object."""

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


class _Split(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    attempts: int = 1
    public: bool = False
    sticky: bool = False  # requests have prompts
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Engine(Struct):
    slots: int = 1
    kv_tokens: int = 0
    link_mbps: float = 0.0  # bandwidth for copying prompts between engines


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
    cold_left_ms: float = 0.0  # from when the object was written, not from when it is read
    born: int = 0


class _Host(Struct):
    address: str
    zone: str
    link_mbps: float = 0.0


def decode_record(topic: Topic, raw: bytes) -> Record | None:
    """Return the record in `raw`, or None if its metadata cannot be decoded.

    If only its `spec` cannot be decoded, the record's value is an `UnreadableRecord`.
    """
    try:
        stored = msgspec.json.decode(raw, type=StoreObject)
    except msgspec.DecodeError:
        return None
    value = _decode_value(topic, stored)
    return Record(stored.meta.name, stored.meta.rev, value, bytes(raw))


def _decode_value(topic: Topic, stored: StoreObject) -> RecordValue:
    try:
        return DECODERS[topic](stored.meta.name, bytes(stored.spec))
    except (msgspec.DecodeError, ValueError, KeyError) as exc:
        return UnreadableRecord(str(exc))


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
    host, _, port = replica.addr.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"the address {replica.addr!r} does not have the form IP:PORT")
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
