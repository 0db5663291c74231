"""Messages of the admission controller."""

from dataclasses import dataclass

from almondspindle.controllers.base import Question
from almondspindle.core.calls import WorkKind
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import ChatId, ServiceName, TargetName, TeamName
from almondspindle.core.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A new configuration came into force."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class Admit(Question[Outcome[int]]):
    """Ask for a ticket for one request in flight at `target`."""

    target: TargetName
    service: ServiceName
    team: TeamName
    work: WorkKind
    chat_id: ChatId | None


@dataclass(frozen=True, slots=True)
class Release:
    """A request in flight has ended."""

    ticket: int
