"""A team's rate of requests at one entry, as a token bucket."""

from dataclasses import dataclass

BURST_S = 2.0  # time at a team's full rate that one entry lets through at once
MIN_BURST = 10.0  # requests


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """Tokens at a time. `at` is in seconds on the monotonic clock."""

    tokens: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class TakeResult:
    """The bucket after a request. `wait_s` is None if it may pass, else when a token is due."""

    bucket: TokenBucket
    wait_s: float | None = None


def rate_per_entry(requests_per_s: float, hosts: int) -> float:
    """Return the share of a team's rate that one of `hosts` entries lets through, in requests/s."""
    return requests_per_s / max(1, hosts)


def burst_size(rate: float) -> float:
    """Return how many requests may pass at once at an entry with `rate` requests/s."""
    return max(MIN_BURST, rate * BURST_S)


def take_token(bucket: TokenBucket | None, rate: float, now: float) -> TakeResult:
    """Take a token for one request at `now`. A team without a bucket starts with a full one."""
    size = burst_size(rate)
    tokens = size
    if bucket is not None:
        tokens = min(size, bucket.tokens + max(0.0, now - bucket.updated_at) * rate)
    if tokens < 1.0:
        return TakeResult(TokenBucket(tokens, now), (1.0 - tokens) / rate)
    return TakeResult(TokenBucket(tokens - 1.0, now))
