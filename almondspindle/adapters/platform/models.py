"""Validated models of what the platform stores and lists."""

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
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, Field(ge=0.0)]
Retention = Annotated[float, Field(ge=0.0, le=MAX_RETENTION_S)]


class StrictModel(BaseModel):
    """A model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid")


class TeamModel(StrictModel):
    """A team as stored."""

    name: Name
    token_sha256: Digest
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0
    requests_per_s: Annotated[float, Field(gt=0.0)] = 50.0
    services: tuple[Name, ...] = ()


class PolicyModel(StrictModel):
    """The limits of a service as stored."""

    load_multiple: Annotated[float, Field(ge=1.0, le=10.0)] = 1.25
    load_floor: Annotated[int, Field(ge=1)] = 4
    target_limit: Annotated[int, Field(ge=1)] = 64
    cold_limit: Annotated[int, Field(ge=1)] = 2
    slow_start_s: Seconds = 30.0
    retry_budget: Share = 0.1
    key_retention_s: Retention = 86_400.0


class ObjectivesModel(StrictModel):
    """Service-level objectives as stored."""

    availability: Share = 0.999
    first_token_s: Seconds = 0.48
    between_tokens_s: Seconds = 0.074
    latency_share: Share = 0.95
    commits_answered: Share = 0.999


class ServiceModel(StrictModel):
    """A service as stored."""

    name: Name
    kind: ServiceKind
    policy: PolicyModel = PolicyModel()
    objectives: ObjectivesModel = ObjectivesModel()
    checks_fencing: bool = False


class ZoneModel(StrictModel):
    """An availability zone as stored."""

    name: Name
    region: Name = "default"
    intent: Intent = Intent.IN


class TargetModel(StrictModel):
    """What operators say about a target, as stored."""

    name: Name
    intent: Intent = Intent.IN
    limit: Annotated[int, Field(ge=1)] | None = None


class OperatorModel(StrictModel):
    """An operator as stored."""

    name: Name
    token_sha256: Digest


class ConfigModel(StrictModel):
    """The whole configuration, as one stored object."""

    teams: list[TeamModel] = []
    services: list[ServiceModel] = []
    zones: list[ZoneModel] = []
    targets: list[TargetModel] = []
    operators: list[OperatorModel] = []

    @model_validator(mode="after")
    def _names_are_unique(self) -> "ConfigModel":
        for kind in ("teams", "services", "zones", "targets", "operators"):
            names = [entry.name for entry in getattr(self, kind)]
            twice = sorted({name for name in names if names.count(name) > 1})
            if twice:
                raise ValueError(f"{kind}: names stand twice: {', '.join(twice)}")
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
    """The platform's lagging list, its entries not yet decoded."""

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
    """Return the configuration in `model` as data classes, at `version`."""
    return ConfigSet(
        version=version,
        teams={TeamName(m.name): Team(**m.model_dump()) for m in model.teams},
        services={ServiceName(m.name): service_from_model(m) for m in model.services},
        zones={ZoneName(m.name): AvailabilityZone(**m.model_dump()) for m in model.zones},
        targets={TargetName(m.name): TargetOverride(**m.model_dump()) for m in model.targets},
        operators={OperatorName(m.name): Operator(**m.model_dump()) for m in model.operators},
    )


def parse_roster(value: bytes) -> Result[Roster, str]:
    """Return the hosts and targets in the platform's list `value`, or what is wrong with it.

    Each entry is validated and turned into a data class before the next one is decoded, since
    the memory of 11,000 models at once would stay with the process.
    """
    try:
        entries = msgspec.json.decode(value, type=_HostList).entries
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Error(f"document: {exc}")
    roster, wrong = Roster(), []
    for number, raw in enumerate(entries):
        try:
            _add_entry(_ENTRY.validate_json(bytes(raw)), roster)
        except ValidationError as exc:
            wrong.append(describe(exc, f"entries.{number}"))
    return Error("; ".join(wrong)) if wrong else Ok(roster)


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


def describe(exc: ValidationError, within: str = "") -> str:
    """Return all errors of `exc` on one line, each with the place (`within` it) it concerns."""
    parts = []
    for error in exc.errors(include_url=False, include_input=False):
        steps = (within, *error["loc"]) if within else error["loc"]
        place = ".".join(str(step) for step in steps) or "document"
        parts.append(f"{place}: {error['msg']}")
    return "; ".join(parts)


def dump_config(config: ConfigSet) -> bytes:
    """Return `config` as it is stored, without its version."""
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
