"""The rows that queries list, one data class per source. Queries refer to the fields by name."""

from dataclasses import dataclass, fields

from almondspindle.language.statements import Source

UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TeamRow:
    """A team. `requests_per_s` is its rate limit across the fleet."""

    name: str
    weight: float
    requests_per_s: float
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """A service with its policy. Durations are in seconds, limits in requests in flight."""

    name: str
    kind: str
    targets: int
    load_multiple: float
    load_floor: int
    target_limit: int
    cold_limit: int
    slow_start_s: float
    retry_budget: float
    key_retention_s: float


@dataclass(frozen=True, slots=True)
class ZoneRow:
    """An availability zone, with the number of its hosts and targets."""

    name: str
    region: str
    intent: str
    hosts: int
    targets: int


@dataclass(frozen=True, slots=True)
class HostRow:
    """A host. `config_version` is the lowest version in force on the host and its entries.

    It is -1 if the host did not respond.
    """

    name: str
    zone: str
    address: str
    state: str
    config_version: int


@dataclass(frozen=True, slots=True)
class TargetRow:
    """A target. The fields from `in_flight` on are taken from its owner's report.

    `why` is the reason for refusing new work, empty if the target admits work. If the owner did not
    respond, `why` says so, `in_flight` and `limit` are -1 and `slow_start` is "unknown".
    """

    name: str
    service: str
    zone: str
    address: str
    state: str
    intent: str
    owner: str
    in_flight: int
    limit: int
    slow_start: str
    why: str


@dataclass(frozen=True, slots=True)
class OperatorRow:
    """An operator. The row leaves out the digest of the operator's token."""

    name: str


Row = TeamRow | ServiceRow | ZoneRow | HostRow | TargetRow | OperatorRow

ROW_TYPES: dict[Source, type] = {
    Source.TEAMS: TeamRow,
    Source.SERVICES: ServiceRow,
    Source.ZONES: ZoneRow,
    Source.HOSTS: HostRow,
    Source.TARGETS: TargetRow,
    Source.OPERATORS: OperatorRow,
}
DEFAULT_FIELDS: dict[Source, tuple[str, ...]] = {
    Source.TEAMS: ("name", "weight", "requests_per_s", "services"),
    Source.SERVICES: ("name", "kind", "targets", "load_multiple", "target_limit"),
    Source.ZONES: ("name", "region", "intent", "hosts", "targets"),
    Source.HOSTS: ("name", "zone", "state", "config_version"),
    Source.TARGETS: ("name", "service", "zone", "state", "owner", "in_flight", "limit", "why"),
    Source.OPERATORS: ("name",),
}


def field_names(source: Source) -> tuple[str, ...]:
    """Return the field names of the rows of `source`, in order."""
    return tuple(item.name for item in fields(ROW_TYPES[source]))
