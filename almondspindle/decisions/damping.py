"""How long a host that comes and goes must stay up before it owns targets again."""

from almondspindle.core.members import MembershipTimings

GROWTH = 2.0  # each return above the allowance doubles the time


def hold_until(
    returns: tuple[float, ...], now: float, timings: MembershipTimings
) -> tuple[tuple[float, ...], float]:
    """Return the returns within the window, and until when the host owns nothing.

    `returns` are the times at which the host came back, in seconds. Returns up to the allowance
    cost nothing, since a restart is an ordinary event.
    """
    recent = tuple(at for at in returns if now - at < timings.flap_window_s)
    excess = len(recent) - timings.flap_allowance
    if excess <= 0:
        return recent, now
    hold_s = min(timings.flap_hold_s * GROWTH ** (excess - 1), timings.flap_hold_max_s)
    return recent, now + hold_s
