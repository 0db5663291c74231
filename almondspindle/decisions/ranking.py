"""The order in which an entry tries a service's targets for a chat.

Like the match tables of P4-K8s-Scheduler (docs/topics/ranking-and-admission.md), the ring keeps
work out of the request path. What depends only on the set of targets is computed when the set
changes, and a request costs a few lookups. The structure is multi-probe consistent hashing
(Appleton and O'Reilly, 2015), with a few points per target and several probes per key.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from typing import Protocol

import xxhash

from almondspindle.core.identifiers import TargetName
from almondspindle.decisions.hashing import score

POINTS_PER_TARGET = 4  # more points raise the smallest shares of keys
PROBES_PER_KEY = 11  # more probes lower the largest share of keys, but slow down the lookup
SPAN_BITS = 64
SPAN_MASK = (1 << SPAN_BITS) - 1


class Ranking(Protocol):
    """A ranking of targets that is the same on every entry for the same key."""

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        ...


class RendezvousScan:
    """Rank targets by scoring all of them for each key. The reference for faster structures."""

    def __init__(self, targets: Sequence[TargetName]) -> None:
        self._targets = list(targets)

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        ordered = sorted(self._targets, key=lambda target: score(key, target), reverse=True)
        return ordered[:count]


def ring_points(target: TargetName) -> list[int]:
    """Return the target's points on the ring, from 0 to 2**64 - 1."""
    return [score(str(number), target) for number in range(POINTS_PER_TARGET)]


def ring_probes(key: str) -> list[int]:
    """Return the points on the ring from which the search for `key` starts.

    They are derived from the two halves of one hash (double hashing). Computing `PROBES_PER_KEY`
    separate hashes would take most of the lookup's time.
    """
    digest = xxhash.xxh3_128_intdigest(key.encode())
    start = digest >> SPAN_BITS
    step = (digest & SPAN_MASK) | 1
    return [(start + number * step) & SPAN_MASK for number in range(PROBES_PER_KEY)]


class MultiProbeRing:
    """A hash ring that ranks targets by their distance above the nearest probe of the key.

    The order depends only on the set of targets, not on its history. Removing a target does not
    change the distances of the others, so they keep their order for every key.
    """

    def __init__(self, targets: Iterable[TargetName] = ()) -> None:
        pairs = sorted((point, target) for target in set(targets) for point in ring_points(target))
        self._points = [point for point, _ in pairs]
        self._names = [name for _, name in pairs]

    def __len__(self) -> int:
        return len(self._names) // POINTS_PER_TARGET

    def add(self, target: TargetName) -> None:
        """Add `target` to the ring, unless it is already there."""
        for point in ring_points(target):
            index = self._index_of(point, target)
            if not self._is_present(index, point, target):
                self._points.insert(index, point)
                self._names.insert(index, target)

    def remove(self, target: TargetName) -> None:
        """Remove `target` from the ring, if it is there."""
        for point in ring_points(target):
            index = self._index_of(point, target)
            if self._is_present(index, point, target):
                del self._points[index]
                del self._names[index]

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        points, names = self._points, self._names
        size = len(points)
        wanted = min(count, len(self))
        if wanted == 0:
            return []
        distances = []
        for probe in ring_probes(key):
            index = bisect_left(points, probe) % size
            distances.append(((points[index] - probe) & SPAN_MASK, index, probe))
        heapify(distances)
        found: dict[TargetName, None] = {}
        while True:
            _, index, probe = distances[0]
            found[names[index]] = None
            if len(found) == wanted:
                return list(found)
            index = (index + 1) % size
            heapreplace(distances, ((points[index] - probe) & SPAN_MASK, index, probe))

    def _index_of(self, point: int, target: TargetName) -> int:
        index = bisect_left(self._points, point)
        while (
            index < len(self._points)
            and self._points[index] == point
            and self._names[index] < target
        ):
            index += 1
        return index

    def _is_present(self, index: int, point: int, target: TargetName) -> bool:
        if index == len(self._points):
            return False
        return self._points[index] == point and self._names[index] == target
