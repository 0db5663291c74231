"""Messages of the controller of team rates."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import TeamName
from almondspindle.core.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class HostCountChanged:
    """How many hosts share the teams' rates."""

    hosts: int


@dataclass(frozen=True, slots=True)
class TakeToken(ControllerRequest[Outcome[None]]):
    """Ask whether one more request of `team` may pass now."""

    team: TeamName
