"""Build the rows of each source from the configuration, the roster and the hosts' responses."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

from almondspindle.core.config import ConfigSet, Policy, Service
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.roster import Roster, Target
from almondspindle.core.target_reports import TargetReport
from almondspindle.decisions.ownership import owner_of
from almondspindle.language.rows import (
    UNKNOWN,
    HostRow,
    OperatorRow,
    Row,
    ServiceRow,
    TargetRow,
    TeamRow,
    ZoneRow,
)
from almondspindle.language.statements import Source

UNKNOWN_NUMBER = -1  # in columns of numbers; columns of text have `UNKNOWN`


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The state of the fleet that a query or the checks work on.

    `statuses` and `reports` are empty unless the query needs them. A status is None if its host
    did not respond.
    """

    config: ConfigSet
    roster: Roster
    statuses: Mapping[HostName, HostStatus | None] = field(default_factory=dict)
    reports: Mapping[TargetName, TargetReport] = field(default_factory=dict)


def team_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each team."""
    return [
        TeamRow(team.name, team.weight, team.requests_per_s, team.services)
        for team in fleet.config.teams.values()
    ]


def service_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each service."""
    counts = Counter(target.service for target in fleet.roster.targets.values())
    services = fleet.config.services.values()
    return [_service_row(service, counts[service.name]) for service in services]


def _service_row(service: Service, targets: int) -> Row:
    policy: Policy = service.policy
    return ServiceRow(
        name=service.name,
        kind=service.kind.value,
        targets=targets,
        load_multiple=policy.load_multiple,
        load_floor=policy.load_floor,
        target_limit=policy.target_limit,
        cold_limit=policy.cold_limit,
        slow_start_s=policy.slow_start_s,
        retry_budget=policy.retry_budget,
        key_retention_s=policy.key_retention_s,
    )


def zone_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each zone that the configuration or a listed host or target names."""
    hosts = Counter(host.zone for host in fleet.roster.hosts.values())
    targets = Counter(target.zone for target in fleet.roster.targets.values())
    names = sorted({*fleet.config.zones, *hosts, *targets})
    rows: list[Row] = []
    for name in names:
        zone = fleet.config.zones.get(name)
        region = zone.region if zone else UNKNOWN
        intent = fleet.config.zone_intent(name).value
        rows.append(ZoneRow(name, region, intent, hosts[name], targets[name]))
    return rows


def host_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each listed host."""
    rows: list[Row] = []
    for host in fleet.roster.hosts.values():
        status = fleet.statuses.get(host.name)
        version = status.lowest_version if status else UNKNOWN_NUMBER
        rows.append(HostRow(host.name, host.zone, host.address, host.state.value, version))
    return rows


def target_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each listed target."""
    row = partial(target_row, fleet)
    return [row(target) for target in fleet.roster.targets.values()]


def target_row(fleet: FleetSnapshot, target: Target) -> TargetRow:
    """Return the row of `target`."""
    report = fleet.reports.get(target.name)
    owner = owner_of(target, fleet.roster.hosts.values())
    intent = fleet.config.target_intent(target.name).value
    return TargetRow(
        name=target.name,
        service=target.service,
        zone=target.zone,
        address=target.address,
        state=target.state.value,
        intent=intent,
        owner=report.owner if report else (owner.name if owner else UNKNOWN),
        in_flight=report.in_flight if report else UNKNOWN_NUMBER,
        limit=report.limit if report else UNKNOWN_NUMBER,
        slow_start=report.slow_start if report else UNKNOWN,
        why=report.why if report else "its owner did not respond",
    )


def operator_rows(fleet: FleetSnapshot) -> list[Row]:
    """Return a row for each operator."""
    return [OperatorRow(name) for name in fleet.config.operators]


ROW_BUILDERS = {
    Source.TEAMS: team_rows,
    Source.SERVICES: service_rows,
    Source.ZONES: zone_rows,
    Source.HOSTS: host_rows,
    Source.TARGETS: target_rows,
    Source.OPERATORS: operator_rows,
}
