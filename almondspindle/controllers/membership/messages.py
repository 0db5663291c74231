"""Messages of the membership controller."""

from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.config import ConfigSet
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import HostName
from almondspindle.core.members import Gossip
from almondspindle.core.outcomes import Outcome
from almondspindle.core.roster import Host, Roster, RosterDelta


@dataclass(frozen=True, slots=True)
class MembershipListeners:
    """Callbacks for changes. They run in the controller's task and must not block.

    `on_roster` gets each new roster and its difference from the one before. `on_digests` gets the
    load digests of the other hosts in this zone and the totals of the region's other zones, as
    `LoadDigestTracker.by_host` returns them. `on_peer_config_version` gets the name of a peer that
    has a newer configuration, and that version.
    """

    on_roster: Callable[[Roster, RosterDelta], None]
    on_digests: Callable[[dict[HostName, tuple[ServiceDigest, ...]]], None] = lambda by_host: None
    on_peer_config_version: Callable[[HostName, int], None] = lambda host, version: None


@dataclass(frozen=True, slots=True)
class ProbePlan:
    """A host to probe and the gossip to send.

    `fetch_table` is set if the prober should also fetch the full host table of `host`, once the
    host itself has acknowledged the probe.
    """

    host: Host
    gossip: Gossip
    fetch_table: bool = False


@dataclass(frozen=True, slots=True)
class BeginProbePeriod(ControllerRequest[ProbePlan | None]):
    """Begin a probe period; request the probe to send, None if there is no host to probe.

    `digests` has, for each service, the load totals of the targets that this host owns.
    """

    digests: tuple[ServiceDigest, ...]


@dataclass(frozen=True, slots=True)
class ReceiveProbe(ControllerRequest[Gossip]):
    """Merge the gossip of a peer's probe; request the gossip for the acknowledgement."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeAcknowledged:
    """A probe was acknowledged, either directly or through a helper.

    `sent_at` is when the direct probe was sent, in seconds on the monotonic clock.
    """

    host: HostName
    sent_at: float
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class GetHostTable(ControllerRequest[Gossip]):
    """Merge the gossip of a peer that fetches the host table; request the host records for it."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class HostTableFetched:
    """The full host table of a peer was received."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Neither the direct probe nor any probe by a helper was acknowledged.

    `sent_at` is when the direct probe was sent, in seconds on the monotonic clock.
    """

    host: HostName
    sent_at: float


@dataclass(frozen=True, slots=True)
class PickHelpers(ControllerRequest[tuple[ProbePlan, ...]]):
    """Request the helpers that are to probe `host` on behalf of this host.

    The `host` of each returned plan is a helper, and its `gossip` is for that helper.
    """

    host: HostName


@dataclass(frozen=True, slots=True)
class ShouldReadList(ControllerRequest[bool]):
    """Query whether this host should read the platform's list of hosts and targets now."""


@dataclass(frozen=True, slots=True)
class PlatformListRead:
    """The platform's list was read.

    `requested_at` is when it was requested, in seconds on the monotonic clock.
    """

    roster: Roster
    requested_at: float


@dataclass(frozen=True, slots=True)
class BeginLeaving(ControllerRequest[tuple[ProbePlan, ...]]):
    """Mark this host as leaving; request the probes that announce it to the other hosts."""


@dataclass(frozen=True, slots=True)
class RefuseNewWork:
    """Refuse new work from now on.

    Sent once the other hosts have acknowledged that this host is leaving, or after a time-out.
    """


@dataclass(frozen=True, slots=True)
class CheckOwnershipStatus(ControllerRequest[Outcome[None]]):
    """Check whether this host may accept new work as an owner; the error says why not."""


@dataclass(frozen=True, slots=True)
class MembershipConfigChanged:
    """A new configuration has taken effect."""

    config: ConfigSet
