"""Messages to the exchange controller."""

from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.inventory import Topic
from almondspindle.core.reports import HostReport


@dataclass(frozen=True, slots=True)
class ReportHeard:
    """Another host's report has come."""

    report: HostReport


@dataclass(frozen=True, slots=True)
class GetReceivers(ControllerRequest[list[str]]):
    """Ask for the addresses that this host's next report goes to."""


@dataclass(frozen=True, slots=True)
class Ahead:
    """A peer that knows a topic at a higher revision than this host."""

    topic: Topic
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class GetAhead(ControllerRequest[list[Ahead]]):
    """Ask which topics have been behind a peer's for a while; `known` is what this host knows."""

    known: Mapping[Topic, int]


@dataclass(frozen=True, slots=True)
class Follows(ControllerRequest[bool]):
    """Ask whether this host is one of those that follow `topic` in the store."""

    topic: Topic
