"""How probes look on the wire.

The structs encode as arrays without field names, since every host sends some each second and its
control traffic is bounded. Each has a converter from and to the data class that it carries.
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

HOST_STATES = tuple(HostState)  # a state travels as its place here
TARGET_STATES = tuple(TargetState)
COUNTS_PER_SERVICE = 4
AGE_STEPS_PER_S = 10.0  # ages travel in tenths of a second


class WireMember(msgspec.Struct, array_like=True, frozen=True):
    """A `MemberRecord`."""

    name: str
    zone: str
    address: str
    boot: int
    incarnation: int
    state: int


class WireTarget(msgspec.Struct, array_like=True, frozen=True):
    """A `TargetRecord`; `service` is None for a removed target."""

    name: str
    stamp: int
    service: str | None = None
    zone: str = ""
    address: str = ""
    state: int = 0


class WireDigest(msgspec.Struct, array_like=True, frozen=True):
    """A `LoadDigest`; `counts` holds id, in flight, targets and cold of each service in turn."""

    subject_id: int
    age: int
    counts: tuple[int, ...]


class WireGossip(msgspec.Struct, array_like=True, frozen=True):
    """A `Gossip`."""

    sender: WireMember
    config_version: int
    targets_sum: int
    members_sum: int
    members: tuple[WireMember, ...]
    targets: tuple[WireTarget, ...]
    digests: tuple[WireDigest, ...]
    zone_digests: tuple[WireDigest, ...]


class Probe(msgspec.Struct, array_like=True, frozen=True):
    """Ask a host whether it lives, and tell it the news. `number` comes back in the answer."""

    number: int
    gossip: WireGossip


class ProbeAck(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a probe, with the answering host's news."""

    number: int
    gossip: WireGossip


class ProbeFor(msgspec.Struct, array_like=True, frozen=True):
    """Ask a host to probe another one that did not answer."""

    number: int
    gossip: WireGossip
    host: str
    address: str


class ProbeForResult(msgspec.Struct, array_like=True, frozen=True):
    """What a helper found: the other host's answer, or None."""

    number: int
    answer: WireGossip | None


@singledispatch
def to_wire(value: object) -> object:
    """Return `value` as its wire struct."""
    raise InvariantError(f"{type(value).__name__} has no wire struct")


@to_wire.register
def _(value: MemberRecord) -> WireMember:
    state = HOST_STATES.index(value.state)
    return WireMember(value.name, value.zone, value.address, value.boot, value.incarnation, state)


@to_wire.register
def _(value: TargetEntry) -> WireTarget:
    found = value.target
    if found is None:
        return WireTarget(value.name, value.stamp)
    state = TARGET_STATES.index(found.state)
    return WireTarget(value.name, value.stamp, found.service, found.zone, found.address, state)


@to_wire.register
def _(value: LoadDigest) -> WireDigest:
    counts = [(c.service_id, c.in_flight, c.targets, c.cold) for c in value.services]
    # Rounded up, so that a digest never seems younger on its way.
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
        _pick(HOST_STATES, wire.state),
    )


def target_from_wire(wire: WireTarget) -> TargetEntry:
    """Return the record in `wire`. Raise `ValueError` for an unknown state."""
    name = TargetName(wire.name)
    if wire.service is None:
        return TargetEntry(name, None, wire.stamp)
    state = _pick(TARGET_STATES, wire.state)
    zone = ZoneName(wire.zone)
    target = Target(name, ServiceName(wire.service), zone, wire.address, state)
    return TargetEntry(name, target, wire.stamp)


def digest_from_wire(wire: WireDigest) -> LoadDigest:
    """Return the digest in `wire`. Raise `ValueError` when a service's counts are not whole."""
    if len(wire.counts) % COUNTS_PER_SERVICE:
        raise ValueError("a digest's counts are cut off")
    starts = range(0, len(wire.counts), COUNTS_PER_SERVICE)
    counts = tuple(ServiceLoadSummary(*wire.counts[i : i + COUNTS_PER_SERVICE]) for i in starts)
    return LoadDigest(wire.subject_id, wire.age / AGE_STEPS_PER_S, counts)


def gossip_from_wire(wire: WireGossip) -> Gossip:
    """Return the gossip in `wire`. Raise `ValueError` for an unknown state."""
    return Gossip(
        sender=member_from_wire(wire.sender),
        config_version=wire.config_version,
        targets_checksum=wire.targets_sum,
        members_checksum=wire.members_sum,
        members=tuple(map(member_from_wire, wire.members)),
        targets=tuple(map(target_from_wire, wire.targets)),
        digests=tuple(map(digest_from_wire, wire.digests)),
        zone_digests=tuple(map(digest_from_wire, wire.zone_digests)),
    )


def _pick(states: tuple[S, ...], number: int) -> S:
    if not 0 <= number < len(states):
        raise ValueError(f"unknown state number {number}")
    return states[number]
