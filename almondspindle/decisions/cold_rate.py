"""How many requests a second one host may send to a cold target.

The bound holds for the sum over all hosts in any second, so each host takes an equal share; where
that is under one request a second, some hosts, found by hashing, take one each and the rest none.
"""

from collections import deque
from collections.abc import Sequence

from almondspindle.core.node import Bounds
from almondspindle.decisions.hashing import score

WINDOW_S = 1.05  # a second, and the spread of the times on the way to the target
USED_SHARE = 0.85  # share of the bound that is used: hosts may not agree on their number yet


def host_share(bounds: Bounds, cold_per_s: float, host: str, hosts: Sequence[str], key: str) -> int:
    """Return how many requests a second `host` may send to the cold target `key`."""
    total = int((cold_per_s * bounds.cold_rate_multiple + bounds.cold_slack) * USED_SHARE)
    if not hosts:
        return total
    each, rest = divmod(total, len(hosts))
    ordered = sorted(hosts, key=lambda name: score(key, name))
    return each + (1 if host in ordered[:rest] else 0)


def may_send(sent_at: deque[float], share: int, now: float) -> bool:
    """Return whether another request fits into the last second. Drops older times."""
    while sent_at and sent_at[0] <= now - WINDOW_S:
        sent_at.popleft()
    return len(sent_at) < share
