"""Which hosts to probe next and which hosts to request indirect probes from."""

from collections.abc import Collection, Sequence
from random import Random

from almondspindle.core.identifiers import HostName


class ProbeSchedule:
    """A shuffled round-robin, in which each host is probed once per round.

    A host that joins is included from the next round on. A host that left is skipped.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._remaining: list[HostName] = []

    def next(self, names: Collection[HostName]) -> HostName | None:
        """Return the next of `names`, or None if `names` is empty."""
        if not names:
            return None
        present = set(names)
        while self._remaining:
            name = self._remaining.pop()
            if name in present:
                return name
        self._remaining = sorted(names)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop()


def pick_helpers(names: Sequence[HostName], count: int, rng: Random) -> list[HostName]:
    """Return up to `count` of `names`, selected at random."""
    return rng.sample(names, min(count, len(names)))
