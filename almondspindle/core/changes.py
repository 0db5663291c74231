"""Changes of the configuration: what operators ask for, and what came of it."""

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
    """Create an object. A nested field is named with a dot, as in "policy.load_multiple"."""

    kind: ObjectKind
    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SetFields:
    """Change some fields of an object and leave the others as they are."""

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
    """Stop new work to an availability zone or target."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class BringBack:
    """Let an availability zone or target receive new work again."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True, slots=True)
class PutObject:
    """Create an object, or give an existing one just these fields and else the defaults.

    An existing object keeps its intent unless `fields` names one, so that applying an old document
    brings nothing back into service.
    """

    kind: ObjectKind
    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """Put `config` in place of the whole configuration. Its version is ignored."""

    config: ConfigSet


Change = CreateObject | SetFields | DeleteObject | TakeOut | BringBack | PutObject | ReplaceAll


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """What differs between the versions `base` and `version`. None stands for a deleted object.

    `base_nonce` and `nonce` are those of the writes that made the two versions.
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
    """An accepted change: who made it, when, and the values before and after.

    `at` is in seconds since the Unix epoch. `nonce` tells one write from all others.
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
    """A change that was refused: why, and what to do about it."""

    code: ChangeErrorCode
    message: str
    hint: str = ""
