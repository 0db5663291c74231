"""What the owner of a target tells of it."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One owned target. Loads and limits are in requests in flight.

    `slow_start` is "warm", or how much of the chats a cold target admits. `why` is the reason for
    which it refuses new work now, empty when it admits.
    """

    target: TargetName
    owner: HostName
    in_flight: int
    limit: int
    slow_start: str
    why: str
