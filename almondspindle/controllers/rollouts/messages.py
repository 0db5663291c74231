"""Messages to the roll-outs controller, and the message that it publishes."""

from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.placements import AttemptReport
from almondspindle.core.rollouts import (
    RolloutKey,
    RolloutProgress,
    RolloutRecord,
    RolloutState,
    VersionChoice,
    VersionRule,
)
from almondspindle.core.routes import Route


@dataclass(frozen=True, slots=True)
class ChooseVersion(ControllerRequest[VersionChoice]):
    """Request the version for a request to `service`, which is counted as one.

    `request_key` is the same for requests with the same prompt.
    """

    service: ServiceName
    request_key: str


@dataclass(frozen=True, slots=True)
class AttemptObserved:
    """An attempt at a target of `version` ended after `took_s` seconds.

    `is_cold` is set if the target was cold when the attempt began.
    """

    service: ServiceName
    route: Route
    target: TargetName
    version: str
    is_cold: bool
    took_s: float
    report: AttemptReport


@dataclass(frozen=True, slots=True)
class PeerRolloutsReported:
    """What `source` reported of roll-outs: a host, or all hosts of the other zones together."""

    source: str
    rollouts: tuple[RolloutProgress, ...]


@dataclass(frozen=True, slots=True)
class GetRolloutProgress(ControllerRequest[tuple[RolloutProgress, ...]]):
    """Request what this host reports of roll-outs to other hosts."""


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A state to write as the status of the record `name`, unless an outcome is stored there."""

    name: str
    key: RolloutKey
    state: RolloutState


@dataclass(frozen=True, slots=True)
class AdvanceRollouts(ControllerRequest[tuple[StatusReport, ...]]):
    """Advance all roll-outs by the evidence so far, and request the writes that are due.

    `old_in_flight` maps services to the requests at targets of old versions, over all hosts.
    """

    old_in_flight: Mapping[ServiceName, int]


@dataclass(frozen=True, slots=True)
class RolloutStored:
    """The record `name` as it is in the store after a write; None if it is gone."""

    name: str
    record: RolloutRecord | None


@dataclass(frozen=True, slots=True)
class DescribeRollouts(ControllerRequest[tuple[dict[str, object], ...]]):
    """Request a description of each roll-out for operators."""


@dataclass(frozen=True, slots=True)
class VersionRulesChanged:
    """How the versions of the services that are being moved are used from now on."""

    rules: Mapping[ServiceName, VersionRule]
