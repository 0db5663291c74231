"""Messages of the controllers that know targets."""

from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.calls import Candidate
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.outcomes import Outcome
from almondspindle.core.roster import Roster, Target

OwnedListener = Callable[[tuple[OwnedTarget, ...]], None]


@dataclass(frozen=True, slots=True)
class RosterChanged:
    """A new set of hosts and targets."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A new configuration came into force."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class RankTargets(ControllerRequest[Outcome[tuple[Candidate, ...]]]):
    """Ask for the candidates for `key` among the targets of `service`, best first."""

    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class FindOwnedTarget(ControllerRequest[Outcome[Target]]):
    """Ask for a target that this host owns and that is in service."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class FindCandidate(ControllerRequest[Candidate | None]):
    """Ask for a target with its present owner, also when it takes no new work."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class GetRoster(ControllerRequest[Roster]):
    """Ask for the hosts and targets in view."""


@dataclass(frozen=True, slots=True)
class TargetsReturned:
    """Targets that were out of service and may now receive new work again, as cold ones.

    The directory tells its listeners before it ranks these targets again.
    """

    targets: frozenset[TargetName]


@dataclass(frozen=True, slots=True)
class SubscribeReturned:
    """Call `listener` with each set of targets that returns to service."""

    listener: Callable[[TargetsReturned], None]


@dataclass(frozen=True, slots=True)
class SubscribeOwned:
    """Call `listener` with the targets in service that this host owns, after each change."""

    listener: OwnedListener
