"""Numbered checks of the configuration against the listed hosts and targets."""

from collections import Counter
from collections.abc import Iterable

from almondspindle.core.checks import Finding, Severity, register
from almondspindle.core.config import Intent
from almondspindle.operations.listing import FleetSnapshot

# With 2 hosts, one can be replaced while the other owns the zone's targets.
MIN_HOSTS_PER_ZONE = 2
LOW_LOAD_MULTIPLE = 1.1


def _warning(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.WARNING, message, hint)


def _error(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.ERROR, message, hint)


@register
def check_operators_exist(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C001: at least one operator is configured."""
    if not fleet.config.operators:
        hint = 'create operator NAME with token_sha256="<sha256 of the token>"'
        yield _error("C001", "no operator exists, so anyone can change the configuration", hint)


@register
def check_services_have_targets(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C002: each service has a listed target in a zone that is not taken out."""
    for service in fleet.config.services:
        targets = [t for t in fleet.roster.targets.values() if t.service == service]
        if not targets:
            hint = "start targets, or delete the service"
            yield _warning("C002", f"service {service} has no listed target", hint)
        elif all(fleet.config.zone_intent(t.zone) is Intent.OUT for t in targets):
            hint = "bring a zone back: bring zone NAME back"
            yield _error("C002", f"all targets of service {service} are in zones taken out", hint)


@register
def check_target_services_are_configured(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C003: the service of each listed target is configured."""
    unknown = {t.service for t in fleet.roster.targets.values()} - fleet.config.services.keys()
    for service in sorted(unknown):
        hint = f"create service {service} with kind=chat (or plain)"
        yield _error("C003", f"listed targets offer {service}, which is not configured", hint)


@register
def check_zones_are_configured(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C004: each zone of a listed host or target is configured, so that its region is known."""
    listed = {t.zone for t in fleet.roster.targets.values()}
    listed |= {h.zone for h in fleet.roster.hosts.values()}
    for zone in sorted(listed - fleet.config.zones.keys()):
        hint = f"create zone {zone} with region=NAME"
        yield _warning("C004", f"zone {zone} is listed but not configured", hint)


@register
def check_zones_have_enough_hosts(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C005: each zone with targets has enough hosts to own them when one host fails."""
    hosts = Counter(host.zone for host in fleet.roster.hosts.values())
    for zone in sorted({t.zone for t in fleet.roster.targets.values()}):
        if hosts[zone] < MIN_HOSTS_PER_ZONE:
            message = f"zone {zone} has targets but only {hosts[zone]} host(s)"
            hint = "add a host; until then hosts of other zones own its targets when one fails"
            yield _warning("C005", message, hint)


@register
def check_overrides_name_listed_targets(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C006: each configured target override names a listed target."""
    for name in sorted(fleet.config.targets.keys() - fleet.roster.targets.keys()):
        hint = f"delete target {name}"
        yield _warning("C006", f"target {name} is configured but not listed", hint)


@register
def check_load_multiples(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C007: `load_multiple` is high enough for chats to stay on the target that caches them."""
    for service in fleet.config.services.values():
        if service.policy.load_multiple < LOW_LOAD_MULTIPLE:
            message = f"service {service.name}: load_multiple {service.policy.load_multiple} is low"
            hint = "chats often move away from the target that caches them; 1.25 is the default"
            yield _warning("C007", message, hint)


@register
def check_cold_limits(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C008: the limit of a cold target is below that of a warm one."""
    for service in fleet.config.services.values():
        policy = service.policy
        if policy.cold_limit >= policy.target_limit:
            message = f"service {service.name}: cold_limit is not below target_limit"
            hint = f"set service {service.name} policy.cold_limit=N below {policy.target_limit}"
            yield _error("C008", message, hint)


@register
def check_hosts_are_up_to_date(fleet: FleetSnapshot) -> Iterable[Finding]:
    """C009: each listed host responds and has the stored version in force."""
    for host in fleet.roster.hosts.values():
        status = fleet.statuses.get(host.name)
        if status is None:
            hint = "check the host; see docs/howto/replace-a-host.md"
            yield _warning("C009", f"host {host.name} does not respond", hint)
        elif status.lowest_version < fleet.config.version:
            message = f"host {host.name} has version {status.lowest_version} in force"
            hint = (
                f"the stored version is {fleet.config.version}; if the host does not catch up,"
                " restart its router"
            )
            yield _warning("C009", message, hint)
