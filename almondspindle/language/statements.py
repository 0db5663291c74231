"""What a line of the language says, as data classes."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.changes import Change

Value = str | int | float | bool | tuple[str, ...]


class Source(StrEnum):
    """What a query lists."""

    TEAMS = "teams"
    SERVICES = "services"
    ZONES = "zones"
    HOSTS = "hosts"
    TARGETS = "targets"
    OPERATORS = "operators"


class Comparison(StrEnum):
    """How a filter compares a field with a value. `like` takes * for any run of characters."""

    EQUAL = "="
    UNEQUAL = "!="
    BELOW = "<"
    AT_MOST = "<="
    ABOVE = ">"
    AT_LEAST = ">="
    LIKE = "like"


@dataclass(frozen=True, slots=True)
class Condition:
    """One filter of a query."""

    field: str
    comparison: Comparison
    value: Value


@dataclass(frozen=True, slots=True)
class Order:
    """One key that a query is ordered by."""

    field: str
    descending: bool = False


@dataclass(frozen=True, slots=True)
class Command:
    """Changes that are accepted together or not at all.

    `if_version` refuses them unless that configuration version is stored; `wait` asks to wait
    until the new version is in force on every live host.
    """

    changes: tuple[Change, ...]
    if_version: int | None = None
    wait: bool = False


@dataclass(frozen=True, slots=True)
class Query:
    """List objects. Empty `fields` means the source's usual ones."""

    source: Source
    fields: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    order: tuple[Order, ...] = ()
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class ExplainChat:
    """Ask which target a chat goes to, and why."""

    chat_id: str
    service: str


@dataclass(frozen=True, slots=True)
class ExplainKey:
    """Ask what the claim record says of an idempotency key of a team on a service."""

    key: str
    service: str
    team: str


Statement = Command | Query | ExplainChat | ExplainKey
