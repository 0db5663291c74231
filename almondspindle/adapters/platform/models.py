"""Validated models of what the platform stores and lists."""

import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

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
from almondspindle.core.outcomes import Error, Ok, Result
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


class HostListModel(BaseModel):
    """The platform's lagging list."""

    entries: list[Annotated[RouterEntryModel | TargetEntryModel, Field(discriminator="role")]]


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
    """Return the hosts and targets in the platform's list `value`, or what is wrong with it."""
    try:
        model = HostListModel.model_validate_json(value)
    except ValidationError as exc:
        return Error(describe(exc))
    routers = [entry for entry in model.entries if isinstance(entry, RouterEntryModel)]
    targets = [entry for entry in model.entries if isinstance(entry, TargetEntryModel)]
    return Ok(
        Roster(
            hosts={HostName(entry.name): _host(entry) for entry in routers},
            targets={TargetName(entry.name): _target(entry) for entry in targets},
        )
    )


def _host(entry: RouterEntryModel) -> Host:
    state = HostState.LEAVING if entry.leaving else HostState.LIVE
    return Host(HostName(entry.name), ZoneName(entry.zone), entry.address, state)


def _target(entry: TargetEntryModel) -> Target:
    return Target(
        name=TargetName(entry.name),
        service=ServiceName(entry.service),
        zone=ZoneName(entry.zone),
        address=entry.address,
        state=TargetState.LEAVING if entry.leaving else TargetState.LIVE,
    )


def describe(exc: ValidationError) -> str:
    """Return all errors of `exc` on one line, each with the place it concerns."""
    parts = []
    for error in exc.errors(include_url=False, include_input=False):
        place = ".".join(str(step) for step in error["loc"]) or "document"
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
