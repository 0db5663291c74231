"""Messages to the placement controller."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import HostName, ServiceName, TargetName
from almondspindle.core.outcomes import Outcome
from almondspindle.core.placements import AttemptReport, Placement, TargetLife
from almondspindle.core.reports import AttemptCounts
from almondspindle.core.rollouts import VersionChoice


@dataclass(frozen=True, slots=True)
class SelectTarget(ControllerRequest[Outcome[Placement]]):
    """Request a target for one attempt at a request.

    `prompt_key` identifies the shared part of the prompt; it is empty if there is none.
    `tried_targets` are the targets of earlier attempts, which are not selected again. `is_retry`
    is set if an earlier attempt may have reached a target: only then does this attempt count
    against the retry budget. With `only_healthy`, a target that is merely the last resort is not
    selected. `only_target` is the only target that may be selected, None for any. `version` is the
    one for the request while its service is moved to another version. `objective_s` is the latency
    objective of its route, in seconds. Targets at `avoided_addresses` are selected only if no other
    healthy one can be.
    """

    service: ServiceName
    prompt_key: str
    request_id: str
    tried_targets: tuple[TargetName, ...] = ()
    is_retry: bool = False
    only_healthy: bool = False
    only_target: TargetName | None = None
    version: VersionChoice = VersionChoice.ANY
    objective_s: float = 0.0
    avoided_addresses: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report that an attempt ended, and release the reservation `ticket`."""

    ticket: int
    report: AttemptReport


@dataclass(frozen=True, slots=True)
class TargetFellSilent:
    """The target of the reservation `ticket` sends nothing, and the attempt waits on."""

    ticket: int


@dataclass(frozen=True, slots=True)
class MayProbe(ControllerRequest[bool]):
    """Request whether the target of the attempt `ticket` may get another connection now."""

    ticket: int


@dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """Report another host's requests in flight and recent failures, by target.

    `paced` has its responses, and the late ones among them, of targets that are paced.
    """

    host: HostName
    in_flight: Mapping[TargetName, int]
    failures: Mapping[TargetName, AttemptCounts] = field(default_factory=dict)
    paced: Mapping[TargetName, AttemptCounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerLeavingReported:
    """Report the targets of which another host has learned that they are leaving."""

    host: HostName
    leaving: tuple[TargetLife, ...]


@dataclass(frozen=True, slots=True)
class GetLeavingNews(ControllerRequest[tuple[TargetLife, ...]]):
    """Request the targets of which this host has learned recently that they are leaving."""


@dataclass(frozen=True, slots=True)
class GetLoads(ControllerRequest[Mapping[TargetName, int]]):
    """Request the number of requests that this host has in flight, by target."""


@dataclass(frozen=True, slots=True)
class GetOldVersionLoads(ControllerRequest[Mapping[ServiceName, int]]):
    """Request the number of requests of all hosts at targets of old versions.

    The result has the services that are being moved to another version.
    """


@dataclass(frozen=True, slots=True)
class GetPacedCounts(ControllerRequest[Mapping[TargetName, AttemptCounts]]):
    """Request this host's responses and late ones of the targets that are paced."""


@dataclass(frozen=True, slots=True)
class GetFailures(ControllerRequest[Mapping[TargetName, AttemptCounts]]):
    """Request this host's attempt counts for the targets at which attempts failed recently."""
