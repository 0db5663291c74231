"""Clocks. Code in `decisions` takes the time as an argument and never reads a clock."""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock for intervals and a wall clock for timestamps, both in seconds."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclass
class ManualClock:
    """A clock that moves only when a test advances it."""

    now: float = 1000.0
    epoch: float = 1_700_000_000.0

    def monotonic(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the epoch plus the time set by the test, in seconds."""
        return self.epoch + self.now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self.now += seconds
