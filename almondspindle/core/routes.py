"""The route table: which service a request goes to, and the bounds that hold for it."""

from dataclasses import dataclass, field

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName, TeamName


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives `weight` parts of a route's requests."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix under a host name.

    `timeout_s` bounds the whole request, `objective_s` is the latency objective (to the first
    event of a stream) and `gap_objective_s` the longest pause between events that is on time.
    `attempts` bounds the targets that may run one request. `priority` 0 is the most urgent.
    """

    name: str
    authority: str
    prefix: str
    work: WorkKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 0
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompts: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.work is WorkKind.READ or (self.work is WorkKind.CHAT and self.is_resumable)


@dataclass(frozen=True, slots=True)
class Engine:
    """The batch size and the memory, in tokens, of a service's model engines.

    `can_copy` tells that engines copy prompts from each other's memory.
    """

    slots: int
    memory_tokens: int
    can_copy: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What holds for every target of a service.

    A target is cold for `cold_s` after its start and then takes `cold_per_s` requests a second.
    """

    name: ServiceName
    connection_limit: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """What a consumer may send, in bytes, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The team that holds a key. `priority` replaces that of the route, if set."""

    team: TeamName
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services, limits and keys."""

    version: int
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)  # by authority
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    limits: FrontLimits = field(default_factory=FrontLimits)
    key_owners: dict[str, KeyOwner] | None = None  # by key; None where no keys are in use
