"""Messages of the configuration and dissemination controllers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet, Service, Team
from almondspindle.core.config_messages import ConfigResponse, HostStatus
from almondspindle.core.identifiers import HostName, ServiceName, TeamName
from almondspindle.core.outcomes import Outcome
from almondspindle.core.roster import Host

ConfigListener = Callable[[ConfigSet], None]


@dataclass(frozen=True, slots=True)
class ConfigReceived:
    """A configuration that was read from the store or received from a peer."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class SubscribeConfig:
    """Call `listener` with the configuration in force, now and after each change."""

    listener: ConfigListener


@dataclass(frozen=True, slots=True)
class GetConfig(ControllerRequest[ConfigSet]):
    """Request the configuration in force."""


@dataclass(frozen=True, slots=True)
class FindTeam(ControllerRequest[Outcome[Team]]):
    """Request the team whose token has this SHA-256 digest, in hexadecimal."""

    token_sha256: str


@dataclass(frozen=True, slots=True)
class FindService(ControllerRequest[Outcome[Service]]):
    """Request the service, or a refusal if it is unknown or the team may not use it."""

    team: TeamName
    service: ServiceName


class DeltaOutcome(StrEnum):
    """The outcome of a request to apply a delta."""

    APPLIED = "applied"
    OLD = "old"  # the version in force is at least as high as that of the delta
    GAP = "gap"  # the base of the delta is not the configuration in force


@dataclass(frozen=True, slots=True)
class ApplyDelta(ControllerRequest[DeltaOutcome]):
    """Apply a delta if its base is the configuration in force."""

    delta: ConfigDelta


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """A configuration that has come into force on this host."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class HostsUpdated:
    """The hosts of the fleet that this host knows."""

    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """A peer has `version` in force."""

    host: HostName
    version: int


@dataclass(frozen=True, slots=True)
class StartPull(ControllerRequest[float]):
    """Pull a newer version from a random peer, or from others if it does not respond.

    The response is the delay until the next `StartPull`, in seconds.
    """


@dataclass(frozen=True, slots=True)
class PullEnded:
    """The pull in flight has ended. `responded` is False if the peer did not respond in time."""

    responded: bool


@dataclass(frozen=True, slots=True)
class GetConfigSince(ControllerRequest[ConfigResponse]):
    """Request the update from version `have` to the one in force.

    `nonce` identifies the write that created version `have`.
    """

    have: int
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class EntrySubscribed:
    """An entry has opened a subscription."""

    entry: HostName


@dataclass(frozen=True, slots=True)
class EntryUnsubscribed:
    """A subscription of an entry has ended."""

    entry: HostName


@dataclass(frozen=True, slots=True)
class EntryAcked:
    """An entry has acknowledged that `version` is in force on it."""

    entry: HostName
    version: int


@dataclass(frozen=True, slots=True)
class GetHostStatus(ControllerRequest[HostStatus]):
    """Request the versions in force on this host and its entries."""


@dataclass(frozen=True, slots=True)
class SamplePeers(ControllerRequest[list[str]]):
    """Request the addresses of up to `count` random peers, or of seeds if no peer is known."""

    count: int
