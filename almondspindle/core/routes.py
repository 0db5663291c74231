"""The route table: the service for each request, and the limits that apply to it."""

from dataclasses import dataclass, field

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName, TeamName


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of a route's requests in proportion to `weight`."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """The handling of requests for a path prefix under a host name.

    `timeout_s` bounds the entire request. `objective_s` is the latency objective, for streams up
    to the first event, and `gap_objective_s` the objective for the time between two events.
    `attempts` bounds the number of targets that may run a request. `priority` 0 is the most
    urgent.
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
    """The model engines of a service.

    `slots` is the batch size and `memory_tokens` the capacity of the KV cache, in tokens.
    `can_copy` tells whether engines can copy prompts from each other's memory.
    """

    slots: int
    memory_tokens: int
    can_copy: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """The properties of every target of a service.

    A target is cold for `cold_s` seconds after its start, and meanwhile accepts `cold_per_s`
    requests per second.
    """

    name: ServiceName
    connection_limit: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on callers: request sizes in bytes, and the time to send headers or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The team that an API key belongs to. `priority`, if set, overrides that of the route."""

    team: TeamName
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services, limits and API keys."""

    version: int
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)  # by authority
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    key_owners: dict[str, KeyOwner] | None = None  # by API key; None if keys are not used
