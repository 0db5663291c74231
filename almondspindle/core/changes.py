"""Changes of the configuration: requests of operators, accepted changes and errors."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.config import (
    AvailabilityZone,
    ConfigSet,
    Operator,
    Service,
    TargetOverride,
    Team,
)
from almondspindle.core.identifiers import OperatorName, ServiceName, TargetName, TeamName, ZoneName


class ObjectKind(StrEnum):
    """The kinds of configuration object."""

    TEAM = "team"
    SERVICE = "service"
    ZONE = "zone"
    TARGET = "target"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class CreateObject:
    """Create an object. Name a nested field with a dot, as in "policy.load_multiple"."""

    kind: ObjectKind
    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SetFields:
    """Set the given fields of an object and leave the others unchanged."""

    kind: ObjectKind
    name: str
    fields: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class DeleteObject:
    """Delete an object."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class TakeOut:
    """Stop sending new work to an availability zone or target."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class BringBack:
    """Resume sending new work to an availability zone or target."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class PutObject:
    """Create or replace an object. Fields that are not given get their defaults.

    An existing object keeps its intent unless `fields` sets it, so that applying an old document
    does not bring anything back into service.
    """

    kind: ObjectKind
    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """Replace the entire configuration by `config`, whose version is ignored."""

    config: ConfigSet


Change = CreateObject | SetFields | DeleteObject | TakeOut | BringBack | PutObject | ReplaceAll


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """The difference between versions `base` and `version`. None marks a deleted object.

    `base_nonce` and `nonce` identify the writes that created the two versions.
    """

    base: int
    version: int
    teams: dict[TeamName, Team | None] = field(default_factory=dict)
    services: dict[ServiceName, Service | None] = field(default_factory=dict)
    zones: dict[ZoneName, AvailabilityZone | None] = field(default_factory=dict)
    targets: dict[TargetName, TargetOverride | None] = field(default_factory=dict)
    operators: dict[OperatorName, Operator | None] = field(default_factory=dict)
    base_nonce: str = ""
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted change: its author, its time, and the deltas to apply and to undo it.

    `at` is in seconds since the Unix epoch. `nonce` uniquely identifies the write.
    """

    version: int
    previous: int
    nonce: str
    operator: str
    at: float
    forward: ConfigDelta
    backward: ConfigDelta


class ChangeErrorCode(StrEnum):
    """Why a change was refused."""

    UNKNOWN_OBJECT = "unknown_object"
    EXISTS = "exists"
    UNKNOWN_FIELD = "unknown_field"
    INVALID = "invalid"
    BROKEN_REFERENCE = "broken_reference"
    NOTHING_TO_CHANGE = "nothing_to_change"
    VERSION_MISMATCH = "version_mismatch"
    TOO_MANY_CONFLICTS = "too_many_conflicts"
    TOO_LARGE = "too_large"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_BEHIND = "store_behind"
    STORED_INVALID = "stored_invalid"


@dataclass(frozen=True, slots=True)
class ChangeError:
    """A refused change: the reason, and a hint on how to correct it."""

    code: ChangeErrorCode
    message: str
    hint: str = ""
