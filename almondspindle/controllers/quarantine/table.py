"""The parts of requests in quarantine."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from almondspindle.core.crashes import PartIds

MAX_QUARANTINED = 64


@dataclass(slots=True)
class Quarantine:
    """When the parts last caused a crash, and when a request was last sent on trial.

    Times are in seconds on the monotonic clock.
    """

    last_crash_at: float
    last_trial_at: float = -math.inf


class QuarantineTable:
    """Sets of parts whose requests are refused: those that have all parts of a set.

    No set includes another one. The smaller set refuses every request that the larger one does, so
    the larger one is dropped.
    """

    def __init__(self) -> None:
        self._quarantines: dict[PartIds, Quarantine] = {}

    def __iter__(self) -> Iterator[tuple[PartIds, Quarantine]]:
        return iter(self._quarantines.items())

    def sets(self) -> Iterable[PartIds]:
        """Return the sets of parts."""
        return self._quarantines.keys()

    def included_in(self, parts: PartIds) -> list[Quarantine]:
        """Return the quarantines whose sets `parts` includes."""
        return [quarantine for known, quarantine in self if known <= parts]

    def add(self, parts: PartIds, crashed_at: float) -> bool:
        """Add the set `parts`, unless it includes a set that is in the table.

        Return whether it was added. It replaces the sets that include it, and above
        `MAX_QUARANTINED` sets the one whose last crash is the oldest.
        """
        if self.included_in(parts):
            return False
        for known in [known for known in self._quarantines if parts < known]:
            crashed_at = max(crashed_at, self._quarantines.pop(known).last_crash_at)
        if len(self._quarantines) >= MAX_QUARANTINED:
            oldest = min(self._quarantines, key=lambda p: self._quarantines[p].last_crash_at)
            del self._quarantines[oldest]
        self._quarantines[parts] = Quarantine(crashed_at)
        return True

    def remove_answered(self, part: str, answered_at: float) -> list[tuple[PartIds, Quarantine]]:
        """Remove and return the quarantines with `part` whose last crash was before the answer."""
        answered = [
            (parts, quarantine)
            for parts, quarantine in self
            if part in parts and answered_at > quarantine.last_crash_at
        ]
        for parts, _ in answered:
            del self._quarantines[parts]
        return answered
