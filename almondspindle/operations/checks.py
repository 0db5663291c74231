"""Numbered checks of the configuration against the listed hosts and targets."""

from collections import Counter
from collections.abc import Iterable

from almondspindle.core.checks import Finding, Severity, register
from almondspindle.core.config import Intent
from almondspindle.operations.listing import FleetPicture

# With 2 hosts, one can be replaced while the other owns the zone's targets.
FEWEST_HOSTS = 2
TIGHT_MULTIPLE = 1.1


def _warn(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.WARNING, message, hint)


def _error(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.ERROR, message, hint)


@register
def operators_exist(picture: FleetPicture) -> Iterable[Finding]:
    """C001: at least one operator is configured."""
    if not picture.config.operators:
        hint = 'create operator NAME with token_sha256="<sha256 of the token>"'
        yield _error("C001", "no operator exists, so anyone can change the configuration", hint)


@register
def services_have_targets(picture: FleetPicture) -> Iterable[Finding]:
    """C002: each service has a listed target in a zone that is not taken out."""
    for service in picture.config.services:
        targets = [t for t in picture.roster.targets.values() if t.service == service]
        if not targets:
            hint = "start targets, or delete the service"
            yield _warn("C002", f"service {service} has no listed target", hint)
        elif all(picture.config.zone_intent(t.zone) is Intent.OUT for t in targets):
            hint = "bring a zone back: bring zone NAME back"
            yield _error("C002", f"all targets of service {service} are in zones taken out", hint)


@register
def targets_have_services(picture: FleetPicture) -> Iterable[Finding]:
    """C003: the service of each listed target is configured."""
    unknown = {t.service for t in picture.roster.targets.values()} - picture.config.services.keys()
    for service in sorted(unknown):
        hint = f"create service {service} with kind=chat (or plain)"
        yield _error("C003", f"listed targets offer {service}, which is not configured", hint)


@register
def zones_are_known(picture: FleetPicture) -> Iterable[Finding]:
    """C004: each zone of a listed host or target is configured, so that its region is known."""
    listed = {t.zone for t in picture.roster.targets.values()}
    listed |= {h.zone for h in picture.roster.hosts.values()}
    for zone in sorted(listed - picture.config.zones.keys()):
        hint = f"create zone {zone} with region=NAME"
        yield _warn("C004", f"zone {zone} is listed but not configured", hint)


@register
def zones_have_hosts(picture: FleetPicture) -> Iterable[Finding]:
    """C005: each zone with targets has enough hosts to own them when one host fails."""
    hosts = Counter(host.zone for host in picture.roster.hosts.values())
    for zone in sorted({t.zone for t in picture.roster.targets.values()}):
        if hosts[zone] < FEWEST_HOSTS:
            message = f"zone {zone} has targets but only {hosts[zone]} host(s)"
            hint = "add a host; until then hosts of other zones own its targets when one fails"
            yield _warn("C005", message, hint)


@register
def overrides_name_targets(picture: FleetPicture) -> Iterable[Finding]:
    """C006: each configured target override names a listed target."""
    for name in sorted(picture.config.targets.keys() - picture.roster.targets.keys()):
        hint = f"delete target {name}"
        yield _warn("C006", f"target {name} is configured but not listed", hint)


@register
def multiples_leave_room(picture: FleetPicture) -> Iterable[Finding]:
    """C007: `load_multiple` is high enough for chats to stay on the target that caches them."""
    for service in picture.config.services.values():
        if service.policy.load_multiple < TIGHT_MULTIPLE:
            message = f"service {service.name}: load_multiple {service.policy.load_multiple} is low"
            hint = "chats often move away from the target that caches them; 1.25 is usual"
            yield _warn("C007", message, hint)


@register
def limits_fit_together(picture: FleetPicture) -> Iterable[Finding]:
    """C008: the limit of a cold target is below that of a warm one."""
    for service in picture.config.services.values():
        policy = service.policy
        if policy.cold_limit >= policy.target_limit:
            message = f"service {service.name}: cold_limit is not below target_limit"
            hint = f"set service {service.name} policy.cold_limit=N below {policy.target_limit}"
            yield _error("C008", message, hint)


@register
def hosts_agree(picture: FleetPicture) -> Iterable[Finding]:
    """C009: each listed host responds and has the stored version in force."""
    for host in picture.roster.hosts.values():
        status = picture.statuses.get(host.name)
        if status is None:
            hint = "check the host; see docs/howto/replace-a-host.md"
            yield _warn("C009", f"host {host.name} does not respond", hint)
        elif status.lowest_version < picture.config.version:
            message = f"host {host.name} has version {status.lowest_version} in force"
            hint = (
                f"the stored version is {picture.config.version}; if the host does not catch up,"
                " restart its router"
            )
            yield _warn("C009", message, hint)
