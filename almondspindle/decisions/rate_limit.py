"""Limit a team's request rate at one entry with a token bucket."""

from dataclasses import dataclass

BURST_S = 2.0  # burst that one entry allows, in seconds at the team's full rate
MIN_BURST = 10.0  # requests


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """The number of tokens at `updated_at`, in seconds on the monotonic clock."""

    tokens: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class TakeResult:
    """The bucket after a request.

    `wait_s` is None if the request may pass, else the seconds until a token is available.
    """

    bucket: TokenBucket
    wait_s: float | None = None


def rate_per_entry(requests_per_s: float, hosts: int) -> float:
    """Return the share of a team's rate that each of `hosts` entries allows, in requests/s."""
    return requests_per_s / max(1, hosts)


def burst_size(rate: float) -> float:
    """Return the bucket size of an entry that allows `rate` requests/s, in requests."""
    return max(MIN_BURST, rate * BURST_S)


def take_token(bucket: TokenBucket | None, rate: float, now: float) -> TakeResult:
    """Take a token for one request at `now`. Without a bucket, start with a full one."""
    size = burst_size(rate)
    tokens = size
    if bucket is not None:
        tokens = min(size, bucket.tokens + max(0.0, now - bucket.updated_at) * rate)
    if tokens < 1.0:
        return TakeResult(TokenBucket(tokens, now), (1.0 - tokens) / rate)
    return TakeResult(TokenBucket(tokens - 1.0, now))
