"""Messages to the exchange controller."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.inventory import Revision, Topic
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.decisions.topic_watchers import WatchTurn


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report was received from another host."""

    report: HostReport


@dataclass(frozen=True, slots=True)
class ZoneReportReceived:
    """A report on another zone was received from one of its delegates."""

    report: ZoneReport


@dataclass(frozen=True, slots=True)
class OutsideReportReceived:
    """A report on all other zones was received from a delegate of this host's zone."""

    report: OutsideReport


@dataclass(frozen=True, slots=True)
class GetReportReceivers(ControllerRequest[list[str]]):
    """Request the peer addresses to which this host's next report is sent."""


@dataclass(frozen=True, slots=True)
class ZoneRelay:
    """What a delegate sends next: to delegates of other zones, and to hosts of its own zone."""

    zone_report: ZoneReport
    zone_receivers: tuple[str, ...]
    outside_report: OutsideReport
    outside_receivers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GetZoneRelay(ControllerRequest[ZoneRelay | None]):
    """Request what this host sends as delegate of its zone, or None if it isn't one.

    `own` is the host's own latest report.
    """

    own: HostReport


@dataclass(frozen=True, slots=True)
class PeerAhead:
    """A peer that has a higher revision of `topic` than this host.

    Its response to a pull must begin within `response_timeout_s` seconds.
    """

    topic: Topic
    address: str
    revision: Revision
    response_timeout_s: float


@dataclass(frozen=True, slots=True)
class PullEnded:
    """A pull from the peer at `address` ended. `is_silent` is set if the peer did not respond."""

    address: str
    is_silent: bool


@dataclass(frozen=True, slots=True)
class GetPeersAhead(ControllerRequest[list[PeerAhead]]):
    """Request the topics on which peers have been ahead for some time, with the peer to pull from.

    `revisions` maps each topic in question to this host's revision of it, and `ages_s` to the time
    since the store last confirmed this host's copy, in seconds.
    """

    revisions: Mapping[Topic, Revision]
    ages_s: Mapping[Topic, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GetProbeSharers(ControllerRequest[int]):
    """Request the number of hosts among which the probes of a failing store are divided.

    Ask on behalf of a host whose calls fail; it is one of them.
    """


@dataclass(frozen=True, slots=True)
class GetMaxCopyAge(ControllerRequest[float]):
    """Request the age in seconds at which this host asks the store about `topic` itself."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class GetWatchTurn(ControllerRequest[WatchTurn | None]):
    """Request this host's turn as a watcher of `topic` in the store, or None if it isn't one."""

    topic: Topic
