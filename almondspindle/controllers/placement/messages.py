"""Messages to the placement controller."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import HostName, ServiceName, TargetName
from almondspindle.core.outcomes import Outcome
from almondspindle.core.placements import AttemptReport, Placement
from almondspindle.core.reports import AttemptCounts


@dataclass(frozen=True, slots=True)
class SelectTarget(ControllerRequest[Outcome[Placement]]):
    """Ask for a target for an attempt at a request.

    `key` names the prompt's shared part, if any. `tried` are the targets of earlier attempts.
    `is_repeat` tells that an earlier attempt may have reached a target, so that this one draws on
    the budget of repeats.
    """

    service: ServiceName
    prompt_key: str
    request_id: str
    tried_targets: tuple[TargetName, ...] = ()
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; its ticket is given back."""

    ticket: int
    report: AttemptReport


@dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """What another host has in flight, and which attempts failed there lately, by target."""

    host: HostName
    in_flight: Mapping[TargetName, int]
    failures: Mapping[TargetName, AttemptCounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GetLoads(ControllerRequest[Mapping[TargetName, int]]):
    """Ask for the requests that this host has in flight, by target."""


@dataclass(frozen=True, slots=True)
class GetFailures(ControllerRequest[Mapping[TargetName, AttemptCounts]]):
    """Ask for this host's tallies of the targets at which attempts failed lately."""
