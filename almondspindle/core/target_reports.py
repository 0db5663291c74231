"""The report of an owner about a target."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The state of an owned target. `limit` bounds its requests in flight.

    `slow_start` is "warm", or says how long the target has been cold and which share of its chats
    it admits. `why` says why the target refuses new work now; it is empty if it admits work.
    """

    target: TargetName
    owner: HostName
    in_flight: int
    limit: int
    slow_start: str
    why: str
