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
    """Who is told of changes. Each is called from the controller's task and must not wait."""

    on_roster: Callable[[Roster, RosterDelta], None]
    on_digests: Callable[[dict[HostName, tuple[ServiceDigest, ...]]], None] = lambda by_host: None
    on_peer_config_version: Callable[[HostName, int], None] = lambda host, version: None


@dataclass(frozen=True, slots=True)
class ProbePlan:
    """A host to probe and what to tell it. `wants_table` asks to fetch its host table too."""

    host: Host
    gossip: Gossip
    fetch_table: bool = False


@dataclass(frozen=True, slots=True)
class BeginProbePeriod(ControllerRequest[ProbePlan | None]):
    """Begin a probe period; ask whom to probe. `digests` are this host's own sums."""

    digests: tuple[ServiceDigest, ...]


@dataclass(frozen=True, slots=True)
class ReceiveProbe(ControllerRequest[Gossip]):
    """Take in a peer's probe; ask what to answer."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeAcknowledged:
    """A probe sent at `sent_at` was answered, by the host itself or to a helper."""

    host: HostName
    sent_at: float
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class GetHostTable(ControllerRequest[Gossip]):
    """Ask for all that is known of hosts; `gossip` is what the asking host says."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class HostTableFetched:
    """A peer's whole host table was read."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Neither this host nor a helper got an answer."""

    host: HostName
    sent_at: float


@dataclass(frozen=True, slots=True)
class PickHelpers(ControllerRequest[tuple[ProbePlan, ...]]):
    """Ask who may probe `host` on this host's behalf, and what to tell them."""

    host: HostName


@dataclass(frozen=True, slots=True)
class ShouldReadList(ControllerRequest[bool]):
    """Ask whether this host should read the platform's list now."""


@dataclass(frozen=True, slots=True)
class PlatformListRead:
    """The platform's list was read; it was asked for at `asked_at`."""

    roster: Roster
    requested_at: float


@dataclass(frozen=True, slots=True)
class BeginLeaving(ControllerRequest[tuple[ProbePlan, ...]]):
    """Mark this host as leaving; ask which hosts to tell."""


@dataclass(frozen=True, slots=True)
class RefuseNewWork:
    """The others know that this host leaves; refuse new work from now on."""


@dataclass(frozen=True, slots=True)
class CheckStanding(ControllerRequest[Outcome[None]]):
    """Ask whether this host may take new work as an owner."""


@dataclass(frozen=True, slots=True)
class MembershipConfigChanged:
    """A new configuration came into force."""

    config: ConfigSet
