"""Messages of the directory controller. `ConfigChanged` is used by other controllers, too."""

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
    """The hosts or targets have changed; `roster` is complete."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A new configuration has taken effect."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class RankTargets(ControllerRequest[Outcome[tuple[Candidate, ...]]]):
    """Request the candidates for `key` among the targets of `service`, best first.

    The response is an error if there is none.
    """

    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class FindOwnedTarget(ControllerRequest[Outcome[Target]]):
    """Request a target by name; an error unless this host owns it and it is in service.

    It is also an error if this host has no configuration yet.
    """

    target: TargetName


@dataclass(frozen=True, slots=True)
class FindCandidate(ControllerRequest[Candidate | None]):
    """Request a target with its current owner, even if the target accepts no new work.

    None if the target is unknown or has no owner.
    """

    target: TargetName


@dataclass(frozen=True, slots=True)
class GetRoster(ControllerRequest[Roster]):
    """Request the known hosts and targets."""


@dataclass(frozen=True, slots=True)
class TargetsReturned:
    """Targets that were out of service and accept new work again; they start as cold targets.

    The directory notifies its listeners before it ranks these targets again.
    """

    targets: frozenset[TargetName]


@dataclass(frozen=True, slots=True)
class SubscribeReturned:
    """Call `listener` with every set of targets that returns to service."""

    listener: Callable[[TargetsReturned], None]


@dataclass(frozen=True, slots=True)
class SubscribeOwned:
    """Call `listener` with the targets in service that this host owns, now and after changes.

    The first call is made once a roster is known. Only one listener is kept.
    """

    listener: OwnedListener
