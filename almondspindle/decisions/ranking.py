"""The order in which an entry tries a service's targets for a chat.

The ring keeps work out of the request path in the way of the match tables of P4-K8s-Scheduler
(docs/topics/ranking-and-admission.md): what depends on the set of targets alone is computed when
the set changes, and a request costs a few look-ups. The structure is multi-probe consistent
hashing (Appleton and O'Reilly, 2015): a few points a target and several probes a key.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from typing import Protocol

import xxhash

from almondspindle.core.identifiers import TargetName
from almondspindle.decisions.hashing import score

POINTS_PER_TARGET = (
    4  # places of a target on the ring; more points help the targets with small shares
)
PROBES_PER_KEY = 11  # probes of a key; more probes lower the largest share and lengthen the look-up
SPAN_BITS = 64
SPAN_MASK = (1 << SPAN_BITS) - 1


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


def ring_points(target: TargetName) -> list[int]:
    """Return the target's places on the ring, from 0 to 2**64 - 1."""
    return [score(str(number), target) for number in range(POINTS_PER_TARGET)]


def ring_probes(key: str) -> list[int]:
    """Return the places on the ring from which the search for `key` starts.

    They come from two halves of one hash (double hashing), since `PROBES` hashes would be most
    of a look-up's time.
    """
    digest = xxhash.xxh3_128_intdigest(key.encode())
    start = digest >> SPAN_BITS
    step = (digest & SPAN_MASK) | 1
    return [(start + number * step) & SPAN_MASK for number in range(PROBES_PER_KEY)]


class MultiProbeRing:
    """A ring of targets, ranked by the shortest way from any probe of the key up to them.

    The order depends on the set of targets alone, never on its history. A target that leaves
    changes no distance of the others, so the rest keep their order for every key.
    """

    def __init__(self, targets: Iterable[TargetName] = ()) -> None:
        pairs = sorted((point, target) for target in set(targets) for point in ring_points(target))
        self._points = [point for point, _ in pairs]
        self._names = [name for _, name in pairs]

    def __len__(self) -> int:
        return len(self._names) // POINTS_PER_TARGET

    def add(self, target: TargetName) -> None:
        """Put `target` on the ring, unless it is there."""
        for point in ring_points(target):
            place = self._index_of(point, target)
            if not self._is_present(place, point, target):
                self._points.insert(place, point)
                self._names.insert(place, target)

    def remove(self, target: TargetName) -> None:
        """Take `target` off the ring, if it is there."""
        for point in ring_points(target):
            place = self._index_of(point, target)
            if self._is_present(place, point, target):
                del self._points[place]
                del self._names[place]

    def rank(self, key: str, count: int) -> list[TargetName]:
        """Return the first `count` targets for `key`, best first."""
        points, names = self._points, self._names
        size = len(points)
        wanted = min(count, len(self))
        if wanted == 0:
            return []
        ways = []
        for probe in ring_probes(key):
            place = bisect_left(points, probe) % size
            ways.append(((points[place] - probe) & SPAN_MASK, place, probe))
        heapify(ways)
        found: dict[TargetName, None] = {}
        while True:
            _, place, probe = ways[0]
            found[names[place]] = None
            if len(found) == wanted:
                return list(found)
            place = (place + 1) % size
            heapreplace(ways, ((points[place] - probe) & SPAN_MASK, place, probe))

    def _index_of(self, point: int, target: TargetName) -> int:
        place = bisect_left(self._points, point)
        while (
            place < len(self._points)
            and self._points[place] == point
            and self._names[place] < target
        ):
            place += 1
        return place

    def _is_present(self, place: int, point: int, target: TargetName) -> bool:
        if place == len(self._points):
            return False
        return self._points[place] == point and self._names[place] == target
