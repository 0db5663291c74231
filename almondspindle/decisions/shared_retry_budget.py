"""How many repeats one host may make, so that all hosts together keep to the bound.

Over each window, a service may get repeats for a share of its requests and a fixed number more.
The share is taken of this host's own requests; the fixed number is divided among the hosts.
"""

from collections import deque
from dataclasses import dataclass, field

from almondspindle.core.node import Bounds

USABLE_SHARE = 0.8  # share of the bound that is used: hosts may not agree on their number yet


@dataclass(slots=True)
class RetryLog:
    """The times, in seconds, of requests and repeats of one service within a window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


def record_request(log: RetryLog, bounds: Bounds, now: float) -> None:
    """Count a request that came now."""
    _expire(log, bounds, now)
    log.requests.append(now)


def try_spend_retry(log: RetryLog, bounds: Bounds, hosts: int, now: float) -> bool:
    """Return whether this host may send one more repeat now, and count it if so."""
    _expire(log, bounds, now)
    slack = bounds.retry_slack / max(1, hosts)
    allowed = (bounds.retry_ratio * len(log.requests) + slack) * USABLE_SHARE
    if len(log.retries) + 1 > allowed:
        return False
    log.retries.append(now)
    return True


def _expire(log: RetryLog, bounds: Bounds, now: float) -> None:
    for times in (log.requests, log.retries):
        while times and times[0] <= now - bounds.retry_window_s:
            times.popleft()
