"""Which updates the next gossip message carries. Each is sent a bounded number of times."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

TRANSMISSIONS_PER_LOG2 = 2  # sends of one update by one host, per doubling of the fleet


def transmission_limit(hosts: int) -> int:
    """Return how often one host sends the same update in a fleet of `hosts` hosts."""
    return TRANSMISSIONS_PER_LOG2 * math.ceil(math.log2(hosts + 1))


class GossipQueue(Generic[K]):
    """The keys (hosts or targets) of queued updates, and how often each update was sent."""

    def __init__(self) -> None:
        self._transmissions: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def put(self, key: K) -> None:
        """Queue an update of `key`. Its number of sends starts again from 0."""
        self._transmissions[key] = 0

    def take(self, count: int, hosts: int) -> list[K]:
        """Return up to `count` keys, those sent least often first, and count the sends.

        A key leaves the queue after `transmission_limit(hosts)` sends.
        """
        batch = heapq.nsmallest(count, self._transmissions, key=self._transmissions.__getitem__)
        limit = transmission_limit(hosts)
        for key in batch:
            self._transmissions[key] += 1
            if self._transmissions[key] >= limit:
                del self._transmissions[key]
        return batch
