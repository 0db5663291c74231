"""Whether an owner admits one more request to a target."""

import math
from dataclasses import dataclass

from almondspindle.core.config import Policy


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What the owner knows of a target when it decides. Loads are requests in flight."""

    in_flight: int
    limit: int
    service_mean: float


def load_bound(policy: Policy, service_mean: float) -> int:
    """Return the highest number of requests in flight that the set multiple allows."""
    return max(policy.load_floor, math.ceil(policy.load_multiple * service_mean))


def has_room(policy: Policy, load: TargetLoad) -> bool:
    """Return whether one more request keeps the target within every limit."""
    bound = min(load.limit, load_bound(policy, load.service_mean))
    return load.in_flight < bound
