"""Messages of the configuration controller."""

from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.controllers.base import Question
from almondspindle.core.config import ConfigSet, Service, Team
from almondspindle.core.identifiers import ServiceName, TeamName
from almondspindle.core.outcomes import Outcome

ConfigListener = Callable[[ConfigSet], None]


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A configuration was read from the store or a peer."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class SubscribeConfig:
    """Call `listener` with the configuration in force, now and after each change."""

    listener: ConfigListener


@dataclass(frozen=True, slots=True)
class GetConfig(Question[ConfigSet]):
    """Ask for the configuration in force."""


@dataclass(frozen=True, slots=True)
class FindTeam(Question[Outcome[Team]]):
    """Ask for the team whose token has this SHA-256 digest (hex)."""

    token_sha256: str


@dataclass(frozen=True, slots=True)
class FindService(Question[Outcome[Service]]):
    """Ask for a service that the team may use."""

    team: TeamName
    service: ServiceName
