"""Numbered checks of the configuration against the hosts and targets that there are."""

from collections import Counter
from collections.abc import Iterable

from almondspindle.core.checks import Finding, Severity, register
from almondspindle.core.config import Intent
from almondspindle.operations.listing import FleetPicture

FEWEST_HOSTS = 2  # in a zone, so that one can be replaced without owners in other zones
TIGHT_MULTIPLE = 1.1


def _warn(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.WARNING, message, hint)


def _error(number: str, message: str, hint: str) -> Finding:
    return Finding(number, Severity.ERROR, message, hint)


@register
def operators_exist(picture: FleetPicture) -> Iterable[Finding]:
    """C001: somebody is named as an operator."""
    if not picture.config.operators:
        hint = 'create operator NAME with token_sha256="<sha256 of the token>"'
        yield _error("C001", "no operator exists, so anybody may change the configuration", hint)


@register
def services_have_targets(picture: FleetPicture) -> Iterable[Finding]:
    """C002: each service has a target in service."""
    for service in picture.config.services:
        found = [t for t in picture.roster.targets.values() if t.service == service]
        if not found:
            hint = "start targets, or delete the service"
            yield _warn("C002", f"service {service} has no listed target", hint)
        elif all(picture.config.zone_intent(t.zone) is Intent.OUT for t in found):
            hint = "bring a zone back: bring zone NAME back"
            yield _error("C002", f"all targets of service {service} are in zones taken out", hint)


@register
def targets_have_services(picture: FleetPicture) -> Iterable[Finding]:
    """C003: each listed target offers a configured service."""
    unknown = {t.service for t in picture.roster.targets.values()} - picture.config.services.keys()
    for service in sorted(unknown):
        hint = f"create service {service} with kind=chat (or plain)"
        yield _error("C003", f"listed targets offer {service}, which is not configured", hint)


@register
def zones_are_known(picture: FleetPicture) -> Iterable[Finding]:
    """C004: each zone of the host list is configured, so that its region is known."""
    listed = {t.zone for t in picture.roster.targets.values()}
    listed |= {h.zone for h in picture.roster.hosts.values()}
    for zone in sorted(listed - picture.config.zones.keys()):
        hint = f"create zone {zone} with region=NAME"
        yield _warn("C004", f"zone {zone} is listed but not configured", hint)


@register
def zones_have_hosts(picture: FleetPicture) -> Iterable[Finding]:
    """C005: zones with targets have enough hosts to own them."""
    hosts = Counter(host.zone for host in picture.roster.hosts.values())
    for zone in sorted({t.zone for t in picture.roster.targets.values()}):
        if hosts[zone] < FEWEST_HOSTS:
            text = f"zone {zone} has targets and {hosts[zone]} host(s)"
            hint = "add a host; until then hosts of other zones own its targets when one fails"
            yield _warn("C005", text, hint)


@register
def overrides_name_targets(picture: FleetPicture) -> Iterable[Finding]:
    """C006: each target object concerns a listed target."""
    for name in sorted(picture.config.targets.keys() - picture.roster.targets.keys()):
        hint = f"delete target {name}"
        yield _warn("C006", f"target {name} is configured but not listed", hint)


@register
def multiples_leave_room(picture: FleetPicture) -> Iterable[Finding]:
    """C007: the set multiple leaves chats room to stay where their cache is."""
    for service in picture.config.services.values():
        if service.policy.load_multiple < TIGHT_MULTIPLE:
            text = f"service {service.name}: load_multiple {service.policy.load_multiple} is tight"
            hint = "chats are often pushed off the target that caches them; 1.25 is usual"
            yield _warn("C007", text, hint)


@register
def limits_fit_together(picture: FleetPicture) -> Iterable[Finding]:
    """C008: a cold target's limit is below the warm one."""
    for service in picture.config.services.values():
        policy = service.policy
        if policy.cold_limit >= policy.target_limit:
            text = f"service {service.name}: cold_limit is not below target_limit"
            hint = f"set service {service.name} policy.cold_limit=N below {policy.target_limit}"
            yield _error("C008", text, hint)


@register
def hosts_agree(picture: FleetPicture) -> Iterable[Finding]:
    """C009: each listed host answers and has the stored version in force."""
    for host in picture.roster.hosts.values():
        status = picture.statuses.get(host.name)
        if status is None:
            hint = "look at the host; see docs/howto/replace-a-host.md"
            yield _warn("C009", f"host {host.name} does not answer", hint)
        elif status.lowest_version < picture.config.version:
            text = f"host {host.name} has version {status.lowest_version} in force"
            hint = f"stored is {picture.config.version}; if it stays so, restart its router"
            yield _warn("C009", text, hint)
