"""Decide how long a host that restarts repeatedly must stay up before it owns targets again."""

from almondspindle.core.members import MembershipTimings
from almondspindle.decisions.jitter import doubled


def hold_until(
    returned_at: tuple[float, ...], now: float, timings: MembershipTimings
) -> tuple[tuple[float, ...], float]:
    """Return the recent returns of a host, and the time until which it may own no targets.

    `returned_at` holds the times in seconds at which the host became live again. Times older than
    `flap_window_s` are dropped. Returns within the allowance cause no hold, since a restart is an
    ordinary event.
    """
    recent = tuple(at for at in returned_at if now - at < timings.flap_window_s)
    excess = len(recent) - timings.flap_allowance
    if excess <= 0:
        return recent, now
    # Each return above the allowance doubles the hold time.
    return recent, now + doubled(timings.flap_hold_s, excess - 1, timings.flap_hold_max_s)
