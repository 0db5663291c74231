"""Check references between the objects of a configuration."""

from almondspindle.core.changes import ChangeError, ChangeErrorCode
from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result


def check_references(config: ConfigSet) -> Result[ConfigSet, ChangeError]:
    """Return `config`, or an error that lists its faults.

    The error lists the teams that share a bearer token or, if there are none, the references to
    services that do not exist.
    """
    broken = [
        f"team {team.name!r} names service {service!r}"
        for team in config.teams.values()
        for service in team.services
        if service not in config.services
    ]
    sharing = _teams_sharing_tokens(config)
    if sharing:
        text = f"teams share a bearer token: {', '.join(sharing)}"
        return Error(ChangeError(ChangeErrorCode.INVALID, text, "give each team its own token"))
    if not broken:
        return Ok(config)
    known = ", ".join(sorted(config.services)) or "none"
    hint = f"create the service or change the team first; known services: {known}"
    text = f"{'; '.join(broken)}, which does not exist"
    return Error(ChangeError(ChangeErrorCode.BROKEN_REFERENCE, text, hint))


def _teams_sharing_tokens(config: ConfigSet) -> list[str]:
    first_team: dict[str, str] = {}
    sharing = []
    for team in config.teams.values():
        other = first_team.setdefault(team.token_sha256, team.name)
        if other != team.name:
            sharing += [other, team.name]
    return sorted(set(sharing))
