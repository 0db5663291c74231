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
    Revision,
    TargetRecord,
    Topic,
    UnreadableRecord,
    ZoneExclusion,
)
from almondspindle.core.rollouts import RolloutRecord, RolloutState
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
MAX_ROLLOUT_S = 24 * 3600.0
OBJECT_KINDS = {
    Topic.ROUTES: "config",
    Topic.TARGETS: "servers",
    Topic.ZONES: "evacuations",
    Topic.HOSTS: "almondspindle-hosts",
    Topic.ROLLOUTS: "rollouts",
}
WORK_KINDS = {"stream": WorkKind.CHAT, "safe": WorkKind.READ, "unsafe": WorkKind.COMMIT}


class Meta(Struct):
    """Metadata that the store keeps for each object.

    `rev` is the revision of its last change, and `create_revision` that of its first.
    """

    name: str
    rev: int = 0
    create_revision: object = 0  # any value: only roll-outs depend on it
    deleting: bool = False


class StoreObject(Struct):
    """An object of the store.

    `spec` and `status` are left encoded, since other writers may have stored any JSON value there.
    """

    meta: Meta
    spec: Raw = Raw(b"null")
    status: Raw = Raw(b"null")


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
    version: object = ""  # any value: a target without a usable version is still one


class _Rollout(Struct):
    service: str
    target: str  # a version
    duration_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_ROLLOUT_S)]


class _RolloutStatus(Struct):
    state: str = ""
    target: str = ""


class _Host(Struct):
    address: str
    zone: str
    link_mbps: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LINK_MBPS)] = 0.0


def decode_record(
    topic: Topic, raw: bytes, store_revision: Revision | None = None
) -> Record | None:
    """Return the record in `raw`, or None if its name can't be decoded.

    If anything else of it can't be decoded or used, the record's value is an `UnreadableRecord`.
    So it is if its revision isn't one that the store has given by `store_revision`, which becomes
    the record's revision. The record gets the era of that one. None stands for a store whose
    revision isn't known.
    """
    stored = _split_object(raw)
    if stored is None:
        return None
    number, fault, era = stored.revision, stored.fault, 0
    if store_revision is not None:
        era = store_revision.era
        if not 0 < number <= store_revision.number:
            fault = fault or UnreadableRecord("the revision is not one of the store's")
            number = store_revision.number
    value = fault or _decode_value(topic, stored)
    return Record(stored.name, Revision(era, number), value, bytes(raw))


class _SplitObject(NamedTuple):
    """The parts of a stored object. `fault` is set if they can't be used."""

    name: str
    revision: int
    spec: bytes
    status: bytes = b"null"
    created: int = 0
    fault: UnreadableRecord | None = None


def _split_object(raw: bytes) -> _SplitObject | None:
    try:
        stored = msgspec.json.decode(raw, type=StoreObject)
        meta = stored.meta
        created = meta.create_revision if isinstance(meta.create_revision, int) else 0
        return _SplitObject(meta.name, meta.rev, bytes(stored.spec), bytes(stored.status), created)
    except (msgspec.DecodeError, RecursionError) as exc:
        fault = UnreadableRecord(_shorten(str(exc)))
    try:
        members = split_members(split_members(raw)[b"meta"])
        name = msgspec.json.decode(members[b"name"], type=str)
    except (KeyError, ValueError, RecursionError):
        return None
    return _SplitObject(name, _decode_revision(members.get(b"rev", b"")), b"", fault=fault)


def _decode_revision(text: bytes) -> int:
    try:
        return msgspec.json.decode(text, type=int)
    except (msgspec.DecodeError, RecursionError):
        return 0


def _decode_value(topic: Topic, stored: _SplitObject) -> RecordValue:
    try:
        _check_name(stored.name)
        return DECODERS[topic](stored)
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


def _decode_manifest(stored: _SplitObject) -> RecordValue:
    if stored.name != MAIN_MANIFEST:
        return UnreadableRecord("not the main manifest, which is the only one in use")
    manifest = msgspec.json.decode(stored.spec, type=_Manifest)
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


def _decode_replica(stored: _SplitObject) -> RecordValue:
    replica = msgspec.json.decode(stored.spec, type=_Replica)
    check_address(replica.addr)
    return TargetRecord(
        name=TargetName(stored.name),
        service=ServiceName(replica.service),
        address=replica.addr,
        zone=ZoneName(replica.zone),
        slots=max(1, replica.slots),
        is_leaving=replica.state == DRAINING,
        cold_left_s=max(0.0, replica.cold_left_ms) / MS_PER_S,
        started_at_ms=replica.born,
        version=replica.version if isinstance(replica.version, str) else "",
    )


def _decode_evacuation(stored: _SplitObject) -> RecordValue:
    return ZoneExclusion(ZoneName(stored.name))


def _decode_host(stored: _SplitObject) -> RecordValue:
    host = msgspec.json.decode(stored.spec, type=_Host)
    check_address(host.address)
    return HostRecord(HostName(stored.name), host.address, ZoneName(host.zone), host.link_mbps)


def _decode_rollout(stored: _SplitObject) -> RecordValue:
    order = msgspec.json.decode(stored.spec, type=_Rollout)
    _check_name(order.service)
    _check_name(order.target)
    return RolloutRecord(
        service=ServiceName(order.service),
        version=order.target,
        duration_s=order.duration_s,
        created=max(0, min(stored.created, MAX_COUNT)),
        state=_decode_rollout_state(stored.status, order.target),
    )


def _decode_rollout_state(status: bytes, version: str) -> RolloutState | None:
    """Return the state in `status`, or None if it is odd or that of another version."""
    try:
        decoded = msgspec.json.decode(status, type=_RolloutStatus)
    except (msgspec.DecodeError, RecursionError):
        return None
    if decoded.target != version or decoded.state not in set(RolloutState):
        return None
    return RolloutState(decoded.state)


def encode_host(record: HostRecord) -> dict[str, Any]:
    """Return the store object for `record`, from which other hosts find this one."""
    spec = {"address": record.address, "zone": record.zone, "link_mbps": record.link_mbps}
    return {"meta": {"name": record.name, "finalizers": []}, "spec": spec}


def encode_rollout_status(raw: bytes, state: RolloutState, version: str) -> bytes:
    """Return the object `raw`, as read from the store, with the status of a roll-out.

    Its revision is kept, so that the store refuses the write if the object has changed since.
    Raise `ValueError` if `raw` can't be decoded.
    """
    stored = msgspec.json.decode(raw)
    if not isinstance(stored, dict):
        raise ValueError("the object is not a JSON object")
    return msgspec.json.encode({**stored, "status": {"state": state, "target": version}})


DECODERS: dict[Topic, Callable[[_SplitObject], RecordValue]] = {
    Topic.ROUTES: _decode_manifest,
    Topic.TARGETS: _decode_replica,
    Topic.ZONES: _decode_evacuation,
    Topic.HOSTS: _decode_host,
    Topic.ROLLOUTS: _decode_rollout,
}
