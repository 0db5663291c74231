"""Messages of the controller of rate limits."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import TeamName
from almondspindle.core.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class HostCountChanged:
    """The number of hosts among which each team's rate is divided."""

    hosts: int


@dataclass(frozen=True, slots=True)
class TakeToken(ControllerRequest[Outcome[None]]):
    """Take a token for one request of `team`; the response is an error if its rate is exceeded."""

    team: TeamName
