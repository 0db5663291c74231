"""The order in which an entry tries a service's targets for a chat."""

from collections.abc import Sequence
from typing import Protocol

from almondspindle.core.identifiers import TargetName
from almondspindle.decisions.hashing import score


class Ranking(Protocol):
    """An order of targets that every entry computes alike for the same key."""

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        ...


class RendezvousScan:
    """Score every target for each key. The reference for faster structures."""

    def __init__(self, targets: Sequence[TargetName]) -> None:
        self._targets = list(targets)

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        ordered = sorted(self._targets, key=lambda target: score(key, target), reverse=True)
        return ordered[:count]
