"""The hosts and targets that a process knows of."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName


class HostState(StrEnum):
    """What membership holds of a host."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class TargetState(StrEnum):
    """What the platform's list says of a target."""

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
    """The hosts and targets at one reading."""

    hosts: dict[HostName, Host] = field(default_factory=dict)
    targets: dict[TargetName, Target] = field(default_factory=dict)
