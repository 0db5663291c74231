"""Messages to the view controller, and the messages that it publishes."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import (
    NO_REVISION,
    CopyVersion,
    HostRecord,
    Revision,
    Snapshot,
    TargetRecord,
    Topic,
    TopicChanges,
    TopicUpdate,
)
from almondspindle.core.reports import StoreContact
from almondspindle.core.rollouts import RolloutRecord
from almondspindle.core.routes import RouteTable
from almondspindle.decisions.announcing import Listing

ANNOUNCEMENT = "announcement"  # the caller that writes this host's record


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """All records of a topic were read from `source`: the store, or a peer's address."""

    snapshot: Snapshot
    source: str


@dataclass(frozen=True, slots=True)
class ChangesReceived:
    """Changes of a topic were read from the store."""

    changes: TopicChanges


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call to the store about `topic` failed."""

    topic: Topic
    reason: str


@dataclass(frozen=True, slots=True)
class AnnouncementFailed:
    """The record of this host could not be written.

    A write may fail while reads succeed, so this ends a reserved call, but doesn't say that the
    store is lost.
    """


@dataclass(frozen=True, slots=True)
class ExpireRetainedRecords:
    """Remove retained records whose retention period is over, unless the store is unreachable.

    Records are retained when they are missing from the store after an outage.
    """


@dataclass(frozen=True, slots=True)
class TopicRevision:
    """The store revision of this host's copy of a topic, and that of the topic's last known change.

    Both are `NO_REVISION` before the topic is first read. A list of the store doesn't show what was
    removed before it, so the host knows of all changes only from the revision `known_from` on. The
    store counts the changes of all
    topics together, so `current` also grows without a change of the topic. This host received the
    last change `unchanged_s` seconds ago. The store last confirmed the copy `age_s` seconds ago, to
    this host or to a peer with the same copy. Its era began `era_for_s` seconds ago. It has
    `records` records, of which `retained` are missing from the store.
    """

    current: Revision = NO_REVISION
    last_change: Revision = NO_REVISION
    unchanged_s: float = 0.0
    age_s: float = math.inf
    era_for_s: float = 0.0
    records: int = 0
    retained: int = 0
    known_from: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class GetRevisions(ControllerRequest[Mapping[Topic, TopicRevision]]):
    """Request the `TopicRevision` of each topic."""


@dataclass(frozen=True, slots=True)
class IsStoreReachable(ControllerRequest[bool]):
    """Query whether the last call to the store succeeded; true before the first call."""


@dataclass(frozen=True, slots=True)
class GetListing(ControllerRequest[Listing]):
    """Request what this host's copy says of its own `record`."""

    record: HostRecord


@dataclass(frozen=True, slots=True)
class GetStoreContact(ControllerRequest[StoreContact | None]):
    """Request this host's contact with the store, None while its calls fail or before the first."""


@dataclass(frozen=True, slots=True)
class PeerContactReported:
    """A peer reported its contact with the store."""

    host: HostName
    contact: StoreContact


@dataclass(frozen=True, slots=True)
class PeerCopiesReported:
    """A peer reported its copies of topics: their last known changes, and their ages in seconds.

    The peer knows all changes of a topic from `known_from` on, or from the last one on if the topic
    is missing there.
    """

    revisions: Mapping[str, Revision]
    ages_s: Mapping[str, float]
    known_from: Mapping[str, Revision] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReserveStoreCall(ControllerRequest[float]):
    """Ask to call the store now. The result is 0, or the seconds after which to ask again.

    While calls fail, one call at a time is allowed. `caller` is the topic that it is for, or
    `ANNOUNCEMENT`. `sharers` is the number of hosts among which the calls are divided.
    """

    caller: str
    sharers: int


@dataclass(frozen=True, slots=True)
class StoreCallReleased:
    """A reserved call got a response that tells nothing new; the next call may follow at once."""

    caller: str


@dataclass(frozen=True, slots=True)
class GetSnapshot(ControllerRequest[Snapshot]):
    """Request all records of a topic, including retained ones."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class GetTopicUpdate(ControllerRequest[TopicUpdate]):
    """Request the changes that a peer with version `since` of a topic needs."""

    topic: Topic
    since: CopyVersion


@dataclass(frozen=True, slots=True)
class GetRouteTable(ControllerRequest[RouteTable | None]):
    """Request the current route table, or None before the first one is read."""


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """A route table with a higher version was read."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """All targets in the view, including leaving and retained ones."""

    targets: Mapping[str, TargetRecord]


@dataclass(frozen=True, slots=True)
class ZonesChanged:
    """The availability zones to whose targets no requests may be sent."""

    excluded_zones: frozenset[ZoneName]


@dataclass(frozen=True, slots=True)
class HostsChanged:
    """All hosts of the system that have written a record to the store."""

    hosts: Mapping[str, HostRecord]


@dataclass(frozen=True, slots=True)
class RolloutsChanged:
    """All roll-outs that operators have ordered, by the names of their records.

    `eras` has the store's era in which each was listed last, 0 where it isn't known.
    """

    rollouts: Mapping[str, RolloutRecord]
    eras: Mapping[str, int] = field(default_factory=dict)


Publication = RoutesChanged | TargetsChanged | ZonesChanged | HostsChanged | RolloutsChanged
