"""Decide for how long a target that asked for a pause gets nothing, and when callers may return."""

from almondspindle.core.identifiers import RequestId
from almondspindle.core.placements import RequestedPause
from almondspindle.decisions.hashing import score

MAX_PAUSE_S = 600.0  # a faulty header must not keep a target out until it restarts
SPREAD_SHARE = 0.5  # of the time until the pause ends, over which callers return
MIN_SPREAD_S = 0.2
MAX_SPREAD_S = 2.0
MAX_SCORE = 1 << 64


def pause_s(requested: RequestedPause) -> float | None:
    """Return the pause in seconds, or None if the target asked for none that can be kept."""
    if requested.seconds is None or requested.seconds <= 0:
        return None
    return min(requested.seconds, MAX_PAUSE_S)


def retry_after_s(available_at: float, request_id: RequestId | str, now: float) -> float:
    """Return after how many seconds a caller may return, if a target is available at some time.

    Callers return one after the other, in an order that the ids of their requests decide.
    """
    left_s = max(0.0, available_at - now)
    spread_s = min(max(SPREAD_SHARE * left_s, MIN_SPREAD_S), MAX_SPREAD_S)
    return left_s + spread_s * score("return", request_id) / MAX_SCORE
