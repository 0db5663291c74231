"""Which news ride on the next message: each is sent a bounded number of times."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

TRANSMISSIONS_PER_LOG2 = 2  # sends of one piece of news by one host, per doubling of the fleet


def transmission_limit(hosts: int) -> int:
    """Return how often one host passes on one piece of news in a fleet of `hosts`."""
    return TRANSMISSIONS_PER_LOG2 * math.ceil(math.log2(hosts + 1))


class GossipQueue(Generic[K]):
    """Names of the subjects that have news, with the number of times each was sent."""

    def __init__(self) -> None:
        self._transmissions: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def put(self, key: K) -> None:
        """Note news of `key`; earlier sends of it do not count any more."""
        self._transmissions[key] = 0

    def take(self, count: int, hosts: int) -> list[K]:
        """Return up to `count` subjects, those sent least first, and count the sends."""
        chosen = heapq.nsmallest(count, self._transmissions, key=self._transmissions.__getitem__)
        limit = transmission_limit(hosts)
        for key in chosen:
            self._transmissions[key] += 1
            if self._transmissions[key] >= limit:
                del self._transmissions[key]
        return chosen
