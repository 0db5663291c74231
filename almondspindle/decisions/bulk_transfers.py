"""Bound the bytes of bulk responses that are in flight on a host's link.

The load that this answers: many hosts pull a large manifest at the same time from one that has a
slow link. Without a bound, requests of callers and reports on leaving targets would wait behind
those bytes.
"""

BITS_PER_MBIT = 1_000_000
BYTES_PER_BIT = 1 / 8
# Longest time for which bulk responses may occupy the link, in seconds.
MAX_LINK_TIME_S = 0.1
DEFAULT_LIMIT_BYTES = 256 * 1024  # if the link's bandwidth is unknown
BULK_REPLY_BYTES = 8 * 1024  # smaller responses are never turned away


def bulk_limit_bytes(link_mbps: float) -> int:
    """Return how many bytes of bulk responses may be in flight on a link of `link_mbps` Mbit/s."""
    if link_mbps <= 0:
        return DEFAULT_LIMIT_BYTES
    return int(link_mbps * BITS_PER_MBIT * BYTES_PER_BIT * MAX_LINK_TIME_S)


def may_send_bulk(size: int, in_flight: int, limit: int) -> bool:
    """Return whether a response of `size` bytes may be sent now.

    `in_flight` is the number of bytes of all responses that are being sent. One response is always
    allowed, whatever its size.
    """
    return size < BULK_REPLY_BYTES or in_flight == 0 or in_flight + size <= limit
