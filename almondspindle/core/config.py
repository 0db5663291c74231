"""The versioned configuration, as every process holds it in memory."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import OperatorName, ServiceName, TargetName, TeamName, ZoneName


class ServiceKind(StrEnum):
    """Whether a service streams model answers or is a plain HTTP service."""

    CHAT = "chat"
    PLAIN = "plain"


class Intent(StrEnum):
    """Whether operators want an availability zone or target to receive work."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class Team:
    """A customer of the services. `token_sha256` is the hex digest of its bearer token."""

    name: TeamName
    token_sha256: str
    weight: float = 1.0
    requests_per_s: float = 50.0
    services: tuple[ServiceName, ...] = ()


@dataclass(frozen=True, slots=True)
class Policy:
    """The limits that bind a service. Durations are in seconds."""

    load_multiple: float = 1.25
    load_floor: int = 4
    target_limit: int = 64
    cold_limit: int = 2
    slow_start_s: float = 30.0
    retry_budget: float = 0.1
    key_retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives. Shares lie between 0 and 1, times are in seconds."""

    availability: float = 0.999
    first_token_s: float = 0.48
    between_tokens_s: float = 0.074
    latency_share: float = 0.95
    commits_answered: float = 0.999


@dataclass(frozen=True, slots=True)
class Service:
    """A service that targets offer, with its policy and objectives."""

    name: ServiceName
    kind: ServiceKind
    policy: Policy = field(default_factory=Policy)
    objectives: Objectives = field(default_factory=Objectives)
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone and whether it should receive work."""

    name: ZoneName
    region: str = "default"
    intent: Intent = Intent.IN


@dataclass(frozen=True, slots=True)
class TargetOverride:
    """What operators say about one target. `limit` is in requests in flight."""

    name: TargetName
    intent: Intent = Intent.IN
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that may change the configuration, known by its token's digest."""

    name: OperatorName
    token_sha256: str


@dataclass(frozen=True, slots=True)
class ConfigSet:
    """All configuration objects at one version. Version 0 means none has been read.

    `nonce` is that of the write that made the version, so that two configurations of one version
    can be told apart after the store has lost changes.
    """

    version: int = 0
    teams: dict[TeamName, Team] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    zones: dict[ZoneName, AvailabilityZone] = field(default_factory=dict)
    targets: dict[TargetName, TargetOverride] = field(default_factory=dict)
    operators: dict[OperatorName, Operator] = field(default_factory=dict)
    nonce: str = ""

    def zone_intent(self, zone: ZoneName) -> Intent:
        """Return the intent for `zone`; a zone without an object receives work."""
        found = self.zones.get(zone)
        return found.intent if found else Intent.IN

    def target_intent(self, target: TargetName) -> Intent:
        """Return the intent for `target`; a target without an object receives work."""
        found = self.targets.get(target)
        return found.intent if found else Intent.IN
