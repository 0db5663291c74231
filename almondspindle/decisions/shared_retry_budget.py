"""How many retries one host may send, so that all hosts together stay within the bound.

In each window, the retries for a service may be a share of its requests plus a fixed number. Each
host applies the share to its own requests. The fixed number is divided among the hosts.
"""

from collections import deque
from dataclasses import dataclass, field

from almondspindle.core.node import Bounds

USABLE_SHARE = (
    0.8  # share of the bound that is used, because hosts may not yet agree on their number
)


@dataclass(slots=True)
class RetryLog:
    """The times, in seconds, of the requests and retries for one service within the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


def record_request(log: RetryLog, bounds: Bounds, now: float) -> None:
    """Count a request that is received at `now`."""
    _expire(log, bounds, now)
    log.requests.append(now)


def try_spend_retry(log: RetryLog, bounds: Bounds, hosts: int, now: float) -> bool:
    """Return whether this host may send one more retry at `now`, and count it if so."""
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
