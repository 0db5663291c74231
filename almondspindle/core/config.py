"""The versioned configuration that every process holds in memory."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import OperatorName, ServiceName, TargetName, TeamName, ZoneName


class ServiceKind(StrEnum):
    """Whether a service streams model responses or is a plain HTTP service."""

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
    """The limits that apply to a service.

    A target's requests in flight are bounded by `load_multiple` times the service's average, but
    by no less than `load_floor`. `target_limit` is the absolute bound, and `cold_limit` the bound
    at the beginning of slow start. `retry_budget` is the share of requests that may be retried.
    Durations are in seconds.
    """

    load_multiple: float = 1.25
    load_floor: int = 4
    target_limit: int = 64
    cold_limit: int = 2
    slow_start_s: float = 30.0
    retry_budget: float = 0.1
    key_retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives. Shares are between 0 and 1, times in seconds."""

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
    """Operators' settings for one target. `limit` bounds its requests in flight."""

    name: TargetName
    intent: Intent = Intent.IN
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that may change the configuration.

    `token_sha256` is the hex digest of its bearer token.
    """

    name: OperatorName
    token_sha256: str


@dataclass(frozen=True, slots=True)
class ConfigSet:
    """All configuration objects at one version. Version 0 means that none has been read yet.

    `nonce` identifies the write that created the version. It distinguishes two configurations
    with the same version, which can exist after the store has lost changes.
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
        override = self.targets.get(target)
        return override.intent if override else Intent.IN
