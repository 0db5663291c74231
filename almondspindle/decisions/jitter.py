"""Spread waits so that hosts and requests do not act in step.

Each function takes a random share from 0 to 1 as an argument.
"""

INTERVAL_JITTER = 0.2  # share by which an interval varies to both sides


def jittered_interval(interval_s: float, random_fraction: float) -> float:
    """Return an interval within `POLL_SPREAD` of `interval_s`, in seconds."""
    return interval_s * (1.0 + INTERVAL_JITTER * (2.0 * random_fraction - 1.0))


def full_jitter(attempt: int, base_s: float, cap_s: float, random_fraction: float) -> float:
    """Return the wait before try `attempt` (1 is the first repeat), in seconds.

    It is uniform between 0 and a bound that doubles with each attempt up to `cap_s`.
    """
    return random_fraction * min(cap_s, base_s * 2.0 ** (attempt - 1))
