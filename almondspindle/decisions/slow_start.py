"""When a target is cold, and how much work a cold target gets.

A ramp has two phases. For `Policy.slow_start_s` the target carries at most `Policy.cold_limit`
requests. After that, the limit doubles every tenth of `slow_start_s`. During the whole ramp the
target normally admits only the chats whose hash lies in a growing slice, so that each chat moves to
it once and stays there. `admission.refusal_of` lists the exceptions.
"""

from almondspindle.core.config import Policy
from almondspindle.core.identifiers import ChatId, TargetName
from almondspindle.decisions.hashing import score

DOUBLINGS_PER_SLOW_START = 10.0
MAX_DOUBLINGS = 20.0
SLICE_FILL_SHARE = 0.75  # share of the ramp's limit that the slice is expected to fill
HASH_SPAN = 2.0**64
SLICE_SALT = "slice\x00"


def ramp_limit(policy: Policy, age_s: float) -> int:
    """Return the limit, in requests in flight, of a target that became cold `age_s` seconds ago."""
    doubling_s = age_s - policy.slow_start_s
    if doubling_s <= 0 or policy.slow_start_s <= 0:
        return policy.cold_limit
    doublings = min(MAX_DOUBLINGS, doubling_s * DOUBLINGS_PER_SLOW_START / policy.slow_start_s)
    return int(policy.cold_limit * 2.0**doublings)


def is_ramp_over(policy: Policy, age_s: float, limit: int) -> bool:
    """Return whether a ramp that began `age_s` seconds ago no longer restricts the target.

    `limit` is the target's own limit, in requests in flight.
    """
    if age_s < policy.slow_start_s:
        return False
    return policy.slow_start_s <= 0 or ramp_limit(policy, age_s) >= limit


def slice_share(policy: Policy, age_s: float, service_mean: float) -> float:
    """Return the share of its chats that a cold target admits, from 0 to 1.

    The share grows with time, but not beyond what the ramp's limit can carry. All chats of the
    target together are expected to cause `service_mean` requests in flight.
    """
    if policy.slow_start_s <= 0:
        return 1.0
    by_time = age_s / policy.slow_start_s
    by_load = SLICE_FILL_SHARE * ramp_limit(policy, age_s) / max(service_mean, 1.0)
    return max(0.0, min(1.0, by_time, by_load))


def is_in_slice(target: TargetName, chat_id: ChatId, share: float) -> bool:
    """Return whether `chat_id` lies in the slice that contains `share` of the target's chats."""
    return score(SLICE_SALT + chat_id, target) < share * HASH_SPAN
