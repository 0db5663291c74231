"""Statements of the operators' language, as the parser returns them."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.changes import Change

Value = str | int | float | bool | tuple[str, ...]


class Source(StrEnum):
    """The kinds of object that a query can list."""

    TEAMS = "teams"
    SERVICES = "services"
    ZONES = "zones"
    HOSTS = "hosts"
    TARGETS = "targets"
    OPERATORS = "operators"


class Comparison(StrEnum):
    """A comparison operator. `like` matches a shell-style pattern, such as "walvis-*"."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    LIKE = "like"


@dataclass(frozen=True, slots=True)
class Condition:
    """One condition that the rows of a query must meet."""

    field: str
    comparison: Comparison
    value: Value


@dataclass(frozen=True, slots=True)
class SortKey:
    """One sort key of a query."""

    field: str
    descending: bool = False


@dataclass(frozen=True, slots=True)
class Command:
    """Changes that are accepted together or not at all.

    With `if_version` they are refused unless that configuration version is stored. With `wait`
    the command returns when the new version is in force on every live host, or after a time-out.
    """

    changes: tuple[Change, ...]
    if_version: int | None = None
    wait: bool = False


@dataclass(frozen=True, slots=True)
class Query:
    """List objects of one kind. If `fields` is empty, the default fields of the kind are listed."""

    source: Source
    fields: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    order: tuple[SortKey, ...] = ()
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class ExplainChat:
    """Explain which target a chat is routed to."""

    chat_id: str
    service: str


@dataclass(frozen=True, slots=True)
class ExplainKey:
    """Explain the state of an idempotency key that a team used on a service."""

    key: str
    service: str
    team: str


Statement = Command | Query | ExplainChat | ExplainKey
