"""Limit the requests per second that each host may send to a cold target.

The bound applies to the sum over all hosts in any second, so it is divided equally among them. The
remainder goes to some of the hosts, one request per second each, selected by hashing.
"""

from collections import deque
from collections.abc import Sequence

from almondspindle.core.node import Bounds
from almondspindle.decisions.hashing import score

WINDOW_S = 1.05  # one second plus an allowance for varying network delay to the target
USED_SHARE = 0.85  # share of the bound in use, since hosts may disagree on their number for a while


def host_share(
    bounds: Bounds, cold_per_s: float, host: str, hosts: Sequence[str], target: str
) -> int:
    """Return how many requests per second `host` may send to the cold target `target`."""
    total = int((cold_per_s * bounds.cold_rate_multiple + bounds.cold_slack) * USED_SHARE)
    if not hosts:
        return total
    each, remainder = divmod(total, len(hosts))
    ordered = sorted(hosts, key=lambda name: score(target, name))
    return each + (1 if host in ordered[:remainder] else 0)


def may_send(sent_at: deque[float], share: int, now: float) -> bool:
    """Return whether one more request fits into the window. Remove older times from `sent_at`."""
    while sent_at and sent_at[0] <= now - WINDOW_S:
        sent_at.popleft()
    return len(sent_at) < share
