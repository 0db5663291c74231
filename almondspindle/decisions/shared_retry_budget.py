"""How many repeats one host may make, so that all hosts together keep to the bound.

Over each window, a service may get repeats for a share of its requests and a fixed number more.
The share is taken of this host's own requests; the fixed number is divided among the hosts.
"""

from collections import deque
from dataclasses import dataclass, field

from almondspindle.core.node import Bounds

RESERVE = 0.8  # share of the bound that is used: hosts may not agree on their number yet


@dataclass(slots=True)
class RepeatLog:
    """The times, in seconds, of requests and repeats of one service within a window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


def note_request(log: RepeatLog, bounds: Bounds, now: float) -> None:
    """Count a request that came now."""
    _expire(log, bounds, now)
    log.requests.append(now)


def may_repeat(log: RepeatLog, bounds: Bounds, hosts: int, now: float) -> bool:
    """Return whether this host may send one more repeat now, and count it if so."""
    _expire(log, bounds, now)
    slack = bounds.retry_slack / max(1, hosts)
    allowed = (bounds.retry_ratio * len(log.requests) + slack) * RESERVE
    if len(log.repeats) + 1 > allowed:
        return False
    log.repeats.append(now)
    return True


def _expire(log: RepeatLog, bounds: Bounds, now: float) -> None:
    for times in (log.requests, log.repeats):
        while times and times[0] <= now - bounds.retry_window_s:
            times.popleft()
