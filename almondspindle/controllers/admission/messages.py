"""Messages of the admission controller."""

from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.calls import WorkKind
from almondspindle.core.config import ConfigSet
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.handover import ReleaseResponse
from almondspindle.core.identifiers import ChatId, HostName, ServiceName, TargetName, TeamName
from almondspindle.core.load import LoadReport, OwnedTarget
from almondspindle.core.outcomes import Outcome, Refusal
from almondspindle.core.roster import Host
from almondspindle.core.target_reports import TargetReport


@dataclass(frozen=True, slots=True)
class AdmissionConfigChanged:
    """A new configuration came into force."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class OwnedTargetsChanged:
    """The targets in service that this host owns now."""

    targets: tuple[OwnedTarget, ...]


@dataclass(frozen=True, slots=True)
class Admit(ControllerRequest[Outcome[int]]):
    """Ask for a ticket for one request in flight at `target`.

    `no_other` tells that no target of the service has taken the request so far.
    """

    target: TargetName
    service: ServiceName
    team: TeamName
    work: WorkKind
    chat_id: ChatId | None
    no_other: bool = False


@dataclass(frozen=True, slots=True)
class CheckAdmission(ControllerRequest[Refusal | None]):
    """Ask why a chat would be refused by `target` now; None when it would be admitted."""

    target: TargetName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class GetTargetReports(ControllerRequest[tuple[TargetReport, ...]]):
    """Ask for what is known of each owned target; `owner` is this host."""

    owner: HostName


@dataclass(frozen=True, slots=True)
class FirstByteReceived:
    """The first byte for a ticket came `first_byte_s` seconds after the request was sent."""

    ticket: int
    first_byte_s: float


@dataclass(frozen=True, slots=True)
class ReleaseTicket:
    """A request in flight has ended. `failed` tells that its connection was refused or broke."""

    ticket: int
    failed: bool = False


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target answered a poll that was sent at `asked_at` (seconds, monotonic)."""

    target: TargetName
    report: LoadReport
    sent_at: float


@dataclass(frozen=True, slots=True)
class LoadPollFailed:
    """A target did not answer a poll."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class GetDigests(ControllerRequest[tuple[ServiceDigest, ...]]):
    """Ask for the sums over the targets that this host owns, one digest per service."""


@dataclass(frozen=True, slots=True)
class PeerDigests:
    """The digests of all other hosts in view, each host's newest."""

    by_host: dict[HostName, tuple[ServiceDigest, ...]]


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """Targets that this host waits for `previous` to let go of."""

    previous_owner: Host
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True)
class GetPendingHandovers(ControllerRequest[tuple[PendingHandover, ...]]):
    """Ask which targets wait for their previous owners."""


@dataclass(frozen=True, slots=True)
class HandoverReported:
    """What the previous owner has let go of."""

    previous_owner: HostName
    response: ReleaseResponse


@dataclass(frozen=True, slots=True)
class GetReleasedTargets(ControllerRequest[ReleaseResponse]):
    """Ask which of `targets` this host does not own, and what it has left in flight there."""

    targets: tuple[TargetName, ...]


PollRequestListener = Callable[[TargetName], None]


@dataclass(frozen=True, slots=True)
class SubscribePollRequests:
    """Call `listener` with each target whose report is wanted before its next turn."""

    listener: PollRequestListener
