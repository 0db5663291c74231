"""Messages to the view, and what it publishes."""

from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import ZoneName
from almondspindle.core.inventory import (
    HostRecord,
    Snapshot,
    TargetRecord,
    Topic,
    TopicChanges,
)
from almondspindle.core.routes import RouteTable


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """All records of a topic, read from `source` (the store, or a peer's name)."""

    snapshot: Snapshot
    source: str


@dataclass(frozen=True, slots=True)
class ChangesReceived:
    """Changes of a topic, read from the store."""

    changes: TopicChanges


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call to the store about `topic` gave no result."""

    topic: Topic
    reason: str


@dataclass(frozen=True, slots=True)
class ExpireRetainedRecords:
    """It is time to look again at the records that lapsed during an outage."""


@dataclass(frozen=True, slots=True)
class TopicRevision:
    """The store revisions up to which a topic is known, and of its last known change.

    Both are 0 where nothing is known. The store counts the changes of all topics together.
    """

    current: int = 0
    last_change: int = 0


@dataclass(frozen=True, slots=True)
class GetRevisions(ControllerRequest[Mapping[Topic, TopicRevision]]):
    """Ask up to which store revision each topic is known."""


@dataclass(frozen=True, slots=True)
class IsStoreReachable(ControllerRequest[bool]):
    """Ask whether the last call to the store succeeded."""


@dataclass(frozen=True, slots=True)
class GetSnapshot(ControllerRequest[Snapshot]):
    """Ask for all that is known of a topic."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class GetRouteTable(ControllerRequest[RouteTable | None]):
    """Ask for the route table in force; None before the first one."""


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """A newer route table is in force."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The targets that exist, leaving ones included."""

    targets: Mapping[str, TargetRecord]


@dataclass(frozen=True, slots=True)
class ZonesChanged:
    """The availability zones whose targets are to receive nothing."""

    excluded_zones: frozenset[ZoneName]


@dataclass(frozen=True, slots=True)
class HostsChanged:
    """The hosts of the system that have announced themselves."""

    hosts: Mapping[str, HostRecord]


Publication = RoutesChanged | TargetsChanged | ZonesChanged | HostsChanged
