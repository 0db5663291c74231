"""When an idle connection of a caller may be closed."""

IDLE_GRACE_S = 1.0  # callers reuse connections until shortly before the limit


def idle_until(idle_since: float, limit_then_s: float, limit_s: float, changed_at: float) -> float:
    """Return until when a connection may stay idle, in seconds on the monotonic clock.

    `limit_then_s` is the limit when it became idle, and `limit_s` the one in force since
    `changed_at`. A caller may not know a shorter limit yet, so that one counts from its change.
    """
    until = min(idle_since + limit_then_s, changed_at + limit_s)
    return max(idle_since + limit_s, until) + IDLE_GRACE_S
