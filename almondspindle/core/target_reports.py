"""Reports by the owner of a target on its state."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The state of an owned target. `limit` bounds its requests in flight.

    `slow_start` is "warm", or states the share of the chats that a cold target admits. `why` is
    the reason why the target refuses new work now; it is empty if the target admits work.
    """

    target: TargetName
    owner: HostName
    in_flight: int
    limit: int
    slow_start: str
    why: str
