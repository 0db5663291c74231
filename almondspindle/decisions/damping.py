"""How long a host that comes and goes must stay up before it owns targets again."""

from almondspindle.core.members import MembershipTimings

HOLD_GROWTH_FACTOR = 2.0  # each return above the allowance doubles the time


def hold_until(
    returned_at: tuple[float, ...], now: float, timings: MembershipTimings
) -> tuple[tuple[float, ...], float]:
    """Return the returns within the window, and until when the host owns nothing.

    `returns` are the times at which the host came back, in seconds. Returns up to the allowance
    cost nothing, since a restart is an ordinary event.
    """
    recent = tuple(at for at in returned_at if now - at < timings.flap_window_s)
    excess = len(recent) - timings.flap_allowance
    if excess <= 0:
        return recent, now
    hold_s = min(timings.flap_hold_s * HOLD_GROWTH_FACTOR ** (excess - 1), timings.flap_hold_max_s)
    return recent, now + hold_s
