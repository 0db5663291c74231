"""Validated models of the stored configuration and of the platform's host list."""

import json
from functools import singledispatch
from sys import intern
from typing import Annotated, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError, model_validator

from almondspindle.core.config import (
    AvailabilityZone,
    ConfigSet,
    Intent,
    Objectives,
    Operator,
    Policy,
    Service,
    ServiceKind,
    TargetOverride,
    Team,
)
from almondspindle.core.identifiers import (
    HostName,
    OperatorName,
    ServiceName,
    TargetName,
    TeamName,
    ZoneName,
)
from almondspindle.core.outcomes import Error, InvariantError, Ok, Result
from almondspindle.core.roster import Host, HostState, Roster, Target, TargetState
from almondspindle.decisions.claim_keys import MAX_RETENTION_S

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, Field(ge=0.0)]
Retention = Annotated[float, Field(ge=0.0, le=MAX_RETENTION_S)]


class StrictModel(BaseModel):
    """A model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid")


class TeamModel(StrictModel):
    """The stored form of `Team`."""

    name: Name
    token_sha256: Digest
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0
    requests_per_s: Annotated[float, Field(gt=0.0)] = 50.0
    services: tuple[Name, ...] = ()


class PolicyModel(StrictModel):
    """The stored form of `Policy`."""

    load_multiple: Annotated[float, Field(ge=1.0, le=10.0)] = 1.25
    load_floor: Annotated[int, Field(ge=1)] = 4
    target_limit: Annotated[int, Field(ge=1)] = 64
    cold_limit: Annotated[int, Field(ge=1)] = 2
    slow_start_s: Seconds = 30.0
    retry_budget: Share = 0.1
    key_retention_s: Retention = 86_400.0


class ObjectivesModel(StrictModel):
    """The stored form of `Objectives`."""

    availability: Share = 0.999
    first_token_s: Seconds = 0.48
    between_tokens_s: Seconds = 0.074
    latency_share: Share = 0.95
    commits_answered: Share = 0.999


class ServiceModel(StrictModel):
    """The stored form of `Service`."""

    name: Name
    kind: ServiceKind
    policy: PolicyModel = PolicyModel()
    objectives: ObjectivesModel = ObjectivesModel()
    checks_fencing: bool = False


class ZoneModel(StrictModel):
    """The stored form of `AvailabilityZone`."""

    name: Name
    region: Name = "default"
    intent: Intent = Intent.IN


class TargetModel(StrictModel):
    """The stored form of `TargetOverride`."""

    name: Name
    intent: Intent = Intent.IN
    limit: Annotated[int, Field(ge=1)] | None = None


class OperatorModel(StrictModel):
    """The stored form of `Operator`."""

    name: Name
    token_sha256: Digest


class ConfigModel(StrictModel):
    """All configuration objects. Names are unique among the objects of one kind."""

    teams: list[TeamModel] = []
    services: list[ServiceModel] = []
    zones: list[ZoneModel] = []
    targets: list[TargetModel] = []
    operators: list[OperatorModel] = []

    @model_validator(mode="after")
    def _names_are_unique(self) -> "ConfigModel":
        for kind in ("teams", "services", "zones", "targets", "operators"):
            names = [entry.name for entry in getattr(self, kind)]
            duplicates = sorted({name for name in names if names.count(name) > 1})
            if duplicates:
                raise ValueError(f"{kind}: duplicate names: {', '.join(duplicates)}")
        return self


class RouterEntryModel(BaseModel):
    """A host of the system in the platform's list."""

    role: Literal["router"]
    name: Name
    zone: Name
    address: Address
    leaving: bool = False


class TargetEntryModel(BaseModel):
    """A target in the platform's list."""

    role: Literal["target"]
    name: Name
    service: Name
    zone: Name
    address: Address
    leaving: bool = False


EntryModel = Annotated[RouterEntryModel | TargetEntryModel, Field(discriminator="role")]
_ENTRY: TypeAdapter[RouterEntryModel | TargetEntryModel] = TypeAdapter(EntryModel)


class _HostList(msgspec.Struct):
    """The platform's list of hosts and targets, whose entries are not decoded yet."""

    entries: list[msgspec.Raw]


def service_from_model(model: ServiceModel) -> Service:
    """Return the service in `model`."""
    return Service(
        name=ServiceName(model.name),
        kind=model.kind,
        policy=Policy(**model.policy.model_dump()),
        objectives=Objectives(**model.objectives.model_dump()),
        checks_fencing=model.checks_fencing,
    )


def config_from_model(model: ConfigModel, version: int) -> ConfigSet:
    """Return the configuration in `model` with the given version."""
    return ConfigSet(
        version=version,
        teams={TeamName(m.name): Team(**m.model_dump()) for m in model.teams},
        services={ServiceName(m.name): service_from_model(m) for m in model.services},
        zones={ZoneName(m.name): AvailabilityZone(**m.model_dump()) for m in model.zones},
        targets={TargetName(m.name): TargetOverride(**m.model_dump()) for m in model.targets},
        operators={OperatorName(m.name): Operator(**m.model_dump()) for m in model.operators},
    )


def parse_roster(value: bytes) -> Result[Roster, str]:
    """Return the hosts and targets in the platform's list `value`, or an error message.

    The message describes every invalid entry. Each entry is validated and converted to a data
    class before the next one is decoded: with 11,000 models in memory at the same time, the
    process would not return that memory to the operating system.
    """
    try:
        entries = msgspec.json.decode(value, type=_HostList).entries
    except (ValueError, RecursionError) as exc:
        return Error(f"document: {exc}")
    roster, errors = Roster(), []
    for number, raw in enumerate(entries):
        try:
            _add_entry(_ENTRY.validate_json(bytes(raw)), roster)
        except ValidationError as exc:
            errors.append(describe_validation_error(exc, f"entries.{number}"))
    return Error("; ".join(errors)) if errors else Ok(roster)


@singledispatch
def _add_entry(entry: object, roster: Roster) -> None:
    raise InvariantError(f"unexpected entry {type(entry).__name__}")


@_add_entry.register
def _(entry: RouterEntryModel, roster: Roster) -> None:
    state = HostState.LEAVING if entry.leaving else HostState.LIVE
    name = HostName(entry.name)
    roster.hosts[name] = Host(name, ZoneName(intern(entry.zone)), entry.address, state)


@_add_entry.register
def _(entry: TargetEntryModel, roster: Roster) -> None:
    name = TargetName(entry.name)
    roster.targets[name] = Target(
        name=name,
        service=ServiceName(intern(entry.service)),
        zone=ZoneName(intern(entry.zone)),
        address=entry.address,
        state=TargetState.LEAVING if entry.leaving else TargetState.LIVE,
    )


def describe_validation_error(exc: ValidationError, parent: str = "") -> str:
    """Return all errors of `exc` on one line, each with the path of the invalid field.

    `parent` is the path of the validated value in its document; empty for the document itself.
    """
    parts = []
    for error in exc.errors(include_url=False, include_input=False):
        steps = (parent, *error["loc"]) if parent else error["loc"]
        path = ".".join(str(step) for step in steps) or "document"
        parts.append(f"{path}: {error['msg']}")
    return "; ".join(parts)


def dump_config(config: ConfigSet) -> bytes:
    """Return the JSON document of the objects in `config`, without its version."""
    model = ConfigModel.model_validate(
        {
            "teams": list(config.teams.values()),
            "services": list(config.services.values()),
            "zones": list(config.zones.values()),
            "targets": list(config.targets.values()),
            "operators": list(config.operators.values()),
        },
        from_attributes=True,
    )
    return json.dumps(model.model_dump(mode="json"), separators=(",", ":")).encode()
