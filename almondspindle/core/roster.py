"""The hosts and targets that a process knows."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar

from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName

K = TypeVar("K")
V = TypeVar("V")


class HostState(StrEnum):
    """The state of a host according to membership."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    DAMPED = "damped"


class TargetState(StrEnum):
    """The state of a target in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the system. `address` is its router's peer address as "ip:port"."""

    name: HostName
    zone: ZoneName
    address: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class Target:
    """A back end that serves one service. `address` is "ip:port"."""

    name: TargetName
    service: ServiceName
    zone: ZoneName
    address: str
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, slots=True)
class Roster:
    """All known hosts and targets at one time."""

    hosts: dict[HostName, Host] = field(default_factory=dict)
    targets: dict[TargetName, Target] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RosterDelta:
    """The difference between two rosters. Removed entries are given by name."""

    hosts: tuple[Host, ...] = ()
    targets: tuple[Target, ...] = ()
    hosts_removed: tuple[HostName, ...] = ()
    targets_removed: tuple[TargetName, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.hosts or self.targets or self.hosts_removed or self.targets_removed)


def roster_delta(old: Roster, new: Roster) -> RosterDelta:
    """Return the delta that turns `old` into `new`. Identical objects compare fast."""
    return RosterDelta(
        hosts=_changed(old.hosts, new.hosts),
        targets=_changed(old.targets, new.targets),
        hosts_removed=tuple(name for name in old.hosts if name not in new.hosts),
        targets_removed=tuple(name for name in old.targets if name not in new.targets),
    )


def apply_delta(roster: Roster, delta: RosterDelta) -> Roster:
    """Return a copy of `roster` with `delta` applied."""
    hosts = {**roster.hosts, **{host.name: host for host in delta.hosts}}
    targets = {**roster.targets, **{target.name: target for target in delta.targets}}
    for host in delta.hosts_removed:
        hosts.pop(host, None)
    for target in delta.targets_removed:
        targets.pop(target, None)
    return Roster(hosts, targets)


def _changed(old: dict[K, V], new: dict[K, V]) -> tuple[V, ...]:
    if old is new:
        return ()
    return tuple(value for name, value in new.items() if old.get(name) != value)
