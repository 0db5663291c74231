"""Messages to the exchange controller."""

from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.inventory import Topic
from almondspindle.core.reports import HostReport


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Another host's report has come."""

    report: HostReport


@dataclass(frozen=True, slots=True)
class GetReportReceivers(ControllerRequest[list[str]]):
    """Ask for the addresses that this host's next report goes to."""


@dataclass(frozen=True, slots=True)
class PeerAhead:
    """A peer that knows a topic at a higher revision than this host."""

    topic: Topic
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class GetPeersAhead(ControllerRequest[list[PeerAhead]]):
    """Ask which topics have been behind a peer's for a while; `known` is what this host knows."""

    revisions: Mapping[Topic, int]


@dataclass(frozen=True, slots=True)
class IsTopicWatcher(ControllerRequest[bool]):
    """Ask whether this host is one of those that follow `topic` in the store."""

    topic: Topic
