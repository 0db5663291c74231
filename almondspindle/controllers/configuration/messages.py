"""Messages of the configuration controller."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet, Service, Team
from almondspindle.core.identifiers import HostName, ServiceName, TeamName
from almondspindle.core.outcomes import Outcome
from almondspindle.core.roster import Host
from almondspindle.core.spread import ConfigResponse, HostStatus

ConfigListener = Callable[[ConfigSet], None]


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A configuration was read from the store or a peer."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class SubscribeConfig:
    """Call `listener` with the configuration in force, now and after each change."""

    listener: ConfigListener


@dataclass(frozen=True, slots=True)
class GetConfig(ControllerRequest[ConfigSet]):
    """Ask for the configuration in force."""


@dataclass(frozen=True, slots=True)
class FindTeam(ControllerRequest[Outcome[Team]]):
    """Ask for the team whose token has this SHA-256 digest (hex)."""

    token_sha256: str


@dataclass(frozen=True, slots=True)
class FindService(ControllerRequest[Outcome[Service]]):
    """Ask for a service that the team may use."""

    team: TeamName
    service: ServiceName


class Taken(StrEnum):
    """What became of a difference that was offered."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class TakeDelta(ControllerRequest[Taken]):
    """Apply a difference if it starts at the version in force."""

    delta: ConfigDelta


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A configuration came into force on this host."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class HostsRead:
    """The hosts of the system, as this host sees them."""

    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A peer was heard to have `version` in force."""

    host: HostName
    version: int


@dataclass(frozen=True, slots=True)
class PullDue(ControllerRequest[float]):
    """Ask one random peer for a newer version; the answer is the time to the next such pull, s."""


@dataclass(frozen=True, slots=True)
class PullEnded:
    """The pull in flight has ended. `answered` tells whether the peer gave an answer."""

    answered: bool


@dataclass(frozen=True, slots=True)
class FindNewer(ControllerRequest[ConfigResponse]):
    """Ask what leads from version `have`, made by the write `nonce`, to the one in force."""

    have: int
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class EntryJoined:
    """An entry subscribed."""

    entry: HostName


@dataclass(frozen=True, slots=True)
class EntryLeft:
    """A subscription of an entry ended."""

    entry: HostName


@dataclass(frozen=True, slots=True)
class EntryAcked:
    """An entry has `version` in force."""

    entry: HostName
    version: int


@dataclass(frozen=True, slots=True)
class GetHostStatus(ControllerRequest[HostStatus]):
    """Ask for the versions in force on this host and its entries."""


@dataclass(frozen=True, slots=True)
class SamplePeers(ControllerRequest[list[str]]):
    """Ask for the addresses of up to `count` random peers, or of the seeds if none is known."""

    count: int
