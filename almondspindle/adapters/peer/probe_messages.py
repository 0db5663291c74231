"""Wire structs of membership probes, and their conversion to and from data classes.

The structs are encoded as arrays without field names, because every host sends probes each second
and the control traffic per host is bounded.
"""

import math
from functools import singledispatch
from itertools import chain
from typing import TypeVar

import msgspec

from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.members import (
    Gossip,
    LoadDigest,
    MemberRecord,
    ServiceLoadSummary,
    TargetEntry,
)
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.roster import HostState, Target, TargetState

S = TypeVar("S")

# A state is encoded as its index.
HOST_STATES = tuple(HostState)
TARGET_STATES = tuple(TargetState)
COUNTS_PER_SERVICE = 4
AGE_STEPS_PER_S = 10.0  # ages are encoded in tenths of a second


class WireMember(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of `MemberRecord`. `state` is an index into `HOST_STATES`."""

    name: str
    zone: str
    address: str
    boot: int
    incarnation: int
    state: int


class WireTarget(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of `TargetEntry`. `service` is None for a removed target.

    `state` is an index into `TARGET_STATES`.
    """

    name: str
    stamp: int
    service: str | None = None
    zone: str = ""
    address: str = ""
    state: int = 0


class WireDigest(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of `LoadDigest`. `age` is in tenths of a second, rounded up.

    `counts` has four numbers per service: the id, then the requests in flight, the targets and
    the cold targets.
    """

    subject_id: int
    age: int
    counts: tuple[int, ...]


class WireGossip(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of `Gossip`."""

    sender: WireMember
    config_version: int
    targets_checksum: int
    members_checksum: int
    members: tuple[WireMember, ...]
    targets: tuple[WireTarget, ...]
    digests: tuple[WireDigest, ...]
    zone_digests: tuple[WireDigest, ...]


class Probe(msgspec.Struct, array_like=True, frozen=True):
    """Probe whether a host is alive, and send it gossip. The acknowledgement repeats `number`."""

    number: int
    gossip: WireGossip


class ProbeAck(msgspec.Struct, array_like=True, frozen=True):
    """Acknowledge the probe with the same `number`, with the gossip of the probed host."""

    number: int
    gossip: WireGossip


class IndirectProbeRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a peer to probe `host`, which did not acknowledge a direct probe."""

    number: int
    gossip: WireGossip
    host: str
    address: str


class IndirectProbeResponse(msgspec.Struct, array_like=True, frozen=True):
    """The result of an indirect probe: the gossip of the acknowledgement, or None."""

    number: int
    gossip: WireGossip | None


@singledispatch
def to_wire(value: object) -> object:
    """Return the wire struct of `value`."""
    raise InvariantError(f"{type(value).__name__} has no wire struct")


@to_wire.register
def _(value: MemberRecord) -> WireMember:
    state = HOST_STATES.index(value.state)
    return WireMember(value.name, value.zone, value.address, value.boot, value.incarnation, state)


@to_wire.register
def _(value: TargetEntry) -> WireTarget:
    target = value.target
    if target is None:
        return WireTarget(value.name, value.stamp)
    state = TARGET_STATES.index(target.state)
    return WireTarget(value.name, value.stamp, target.service, target.zone, target.address, state)


@to_wire.register
def _(value: LoadDigest) -> WireDigest:
    counts = [(c.service_id, c.in_flight, c.targets, c.cold) for c in value.services]
    # Rounded up, so that passing a digest on never makes it appear younger.
    age = math.ceil(value.age_s * AGE_STEPS_PER_S)
    return WireDigest(value.subject_id, age, tuple(chain.from_iterable(counts)))


@to_wire.register
def _(value: Gossip) -> WireGossip:
    return WireGossip(
        to_wire(value.sender),  # type: ignore[arg-type]
        value.config_version,
        value.targets_checksum,
        value.members_checksum,
        tuple(to_wire(record) for record in value.members),  # type: ignore[misc]
        tuple(to_wire(record) for record in value.targets),  # type: ignore[misc]
        tuple(to_wire(digest) for digest in value.digests),  # type: ignore[misc]
        tuple(to_wire(digest) for digest in value.zone_digests),  # type: ignore[misc]
    )


def member_from_wire(wire: WireMember) -> MemberRecord:
    """Return the record in `wire`. Raise `ValueError` for an unknown state."""
    return MemberRecord(
        HostName(wire.name),
        ZoneName(wire.zone),
        wire.address,
        wire.boot,
        wire.incarnation,
        _state_at(HOST_STATES, wire.state),
    )


def target_from_wire(wire: WireTarget) -> TargetEntry:
    """Return the entry in `wire`. Raise `ValueError` for an unknown state."""
    name = TargetName(wire.name)
    if wire.service is None:
        return TargetEntry(name, None, wire.stamp)
    state = _state_at(TARGET_STATES, wire.state)
    zone = ZoneName(wire.zone)
    target = Target(name, ServiceName(wire.service), zone, wire.address, state)
    return TargetEntry(name, target, wire.stamp)


def digest_from_wire(wire: WireDigest) -> LoadDigest:
    """Return the digest in `wire`. Raise `ValueError` if the counts of a service are incomplete."""
    if len(wire.counts) % COUNTS_PER_SERVICE:
        raise ValueError("incomplete counts in a load digest")
    starts = range(0, len(wire.counts), COUNTS_PER_SERVICE)
    counts = tuple(ServiceLoadSummary(*wire.counts[i : i + COUNTS_PER_SERVICE]) for i in starts)
    return LoadDigest(wire.subject_id, wire.age / AGE_STEPS_PER_S, counts)


def gossip_from_wire(wire: WireGossip) -> Gossip:
    """Return the gossip in `wire`. Raise `ValueError` for unknown states or incomplete counts."""
    return Gossip(
        sender=member_from_wire(wire.sender),
        config_version=wire.config_version,
        targets_checksum=wire.targets_checksum,
        members_checksum=wire.members_checksum,
        members=tuple(map(member_from_wire, wire.members)),
        targets=tuple(map(target_from_wire, wire.targets)),
        digests=tuple(map(digest_from_wire, wire.digests)),
        zone_digests=tuple(map(digest_from_wire, wire.zone_digests)),
    )


def _state_at(states: tuple[S, ...], index: int) -> S:
    if not 0 <= index < len(states):
        raise ValueError(f"unknown state number {index}")
    return states[index]
