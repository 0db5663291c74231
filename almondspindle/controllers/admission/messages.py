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
    """A new configuration has taken effect."""

    config: ConfigSet


@dataclass(frozen=True, slots=True)
class OwnedTargetsChanged:
    """The complete set of targets in service that this host owns from now on."""

    targets: tuple[OwnedTarget, ...]


@dataclass(frozen=True, slots=True)
class Admit(ControllerRequest[Outcome[int]]):
    """Request a ticket for one request in flight at `target`; an error says why it is refused.

    The caller must send `ReleaseTicket` when the request ends. `others_declined` means that no
    other target of the service accepted the request; a target in slow start then admits chats
    outside its slice, too.
    """

    target: TargetName
    service: ServiceName
    team: TeamName
    work: WorkKind
    chat_id: ChatId | None
    others_declined: bool = False


@dataclass(frozen=True, slots=True)
class CheckAdmission(ControllerRequest[Refusal | None]):
    """Query why `target` would refuse a chat now; None if it would admit it."""

    target: TargetName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class GetTargetReports(ControllerRequest[tuple[TargetReport, ...]]):
    """Request a report on the state of each owned target; `owner` is this host."""

    owner: HostName


@dataclass(frozen=True, slots=True)
class FirstByteReceived:
    """The first byte of a response arrived `first_byte_s` seconds after the request was sent."""

    ticket: int
    first_byte_s: float


@dataclass(frozen=True, slots=True)
class ReleaseTicket:
    """A request in flight has ended. `failed` means its connection was refused or broke."""

    ticket: int
    failed: bool = False


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target responded to a poll sent at `sent_at` (seconds, monotonic clock)."""

    target: TargetName
    report: LoadReport
    sent_at: float


@dataclass(frozen=True, slots=True)
class LoadPollFailed:
    """A target did not respond to a poll, or its report was malformed."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class GetDigests(ControllerRequest[tuple[ServiceDigest, ...]]):
    """Request the load totals of the targets that this host owns, one digest per service."""


@dataclass(frozen=True, slots=True)
class PeerDigests:
    """The newest load digests of the other hosts in this zone and of the region's other zones.

    The key of a zone's digests is the zone's name with the prefix "zone:".
    """

    by_host: dict[HostName, tuple[ServiceDigest, ...]]


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """Targets that `previous_owner` has not released yet."""

    previous_owner: Host
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True)
class GetPendingHandovers(ControllerRequest[tuple[PendingHandover, ...]]):
    """Request the targets that previous owners have not released, grouped by previous owner.

    Targets whose takeover time has passed are left out.
    """


@dataclass(frozen=True, slots=True)
class HandoverReported:
    """A previous owner responded to a release request."""

    previous_owner: HostName
    response: ReleaseResponse


@dataclass(frozen=True, slots=True)
class GetReleasedTargets(ControllerRequest[ReleaseResponse]):
    """Query which of `targets` this host does not own, and its requests in flight at them.

    The response is empty until this host knows which targets it owns.
    """

    targets: tuple[TargetName, ...]


PollRequestListener = Callable[[TargetName], None]


@dataclass(frozen=True, slots=True)
class SubscribePollRequests:
    """Call `listener` with each target whose load report is needed before its next poll."""

    listener: PollRequestListener
