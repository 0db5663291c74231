"""Whom to probe next, and who helps."""

from collections.abc import Collection, Sequence
from random import Random
from typing import TypeVar

T = TypeVar("T")


class ProbeOrder:
    """A shuffled round-robin, so that each host is probed once in each round.

    A host that joins gets its place in the next round; one that is gone is passed over.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._left: list[object] = []

    def next(self, names: Collection[T]) -> T | None:
        """Return the next of `names`, or None when there is none."""
        if not names:
            return None
        present = set(names)
        while self._left:
            name = self._left.pop()
            if name in present:
                return name  # type: ignore[return-value]
        self._left = list(sorted(names))  # type: ignore[type-var]
        self._rng.shuffle(self._left)
        return self._left.pop()  # type: ignore[return-value]


def pick_helpers(names: Sequence[T], count: int, rng: Random) -> list[T]:
    """Return up to `count` of `names` at random."""
    return rng.sample(names, min(count, len(names)))
