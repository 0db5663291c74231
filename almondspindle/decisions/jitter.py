"""Lengthen waits with each failure, and randomize them so that hosts do not act at the same time.

Functions that randomize take a random fraction from 0 to 1 as an argument.
"""

MAX_DOUBLINGS = 64  # more would exceed the range of a float, after some 1,000 failures in a row
INTERVAL_JITTER = 0.2  # share by which an interval is lengthened or shortened at most


def doubled(base_s: float, doublings: int, cap_s: float) -> float:
    """Return `base_s` doubled `doublings` times, but at most `cap_s`, in seconds."""
    return min(cap_s, base_s * 2.0 ** min(doublings, MAX_DOUBLINGS))


def jittered_interval(interval_s: float, random_fraction: float) -> float:
    """Return an interval within `INTERVAL_JITTER` of `interval_s`, in seconds."""
    return interval_s * (1.0 + INTERVAL_JITTER * (2.0 * random_fraction - 1.0))


def full_jitter(attempt: int, base_s: float, cap_s: float, random_fraction: float) -> float:
    """Return the wait before retry number `attempt`, starting from 1, in seconds.

    It is uniform between 0 and a limit that doubles with each retry, from `base_s` up to `cap_s`.
    """
    return random_fraction * doubled(base_s, attempt - 1, cap_s)
