"""How many requests one host may send to a version that may be bad.

The bound applies to the sum over all hosts, from the order of the roll-out on: a share of the
service's requests, and a fixed number more.

The load that this answers: hosts that see less than a request a second each. Shares by host would
let none of them begin. So requests are assigned by a hash that includes the share at most, and the
bound is applied to the sums that the hosts report to each other. Between two reports the sum grows
by that share of the requests, which the bound permits. A host that hears of no other applies its
part of the bound.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from almondspindle.core.node import Bounds
from almondspindle.core.rollouts import RolloutKey
from almondspindle.decisions.hashing import score

USED_SHARE = 0.8  # share of the bound in use, since hosts may disagree on their number
HASH_RANGE = 2.0**64


@dataclass(slots=True)
class ExposureLog:
    """Requests for a service since its roll-out was ordered, and those exposed."""

    requests: int = 0
    exposed: int = 0


def usable_slack(bounds: Bounds) -> float:
    """Return the fixed number of requests that all hosts together use."""
    return bounds.exposure_slack * USED_SHARE


def slack_share(bounds: Bounds, key: RolloutKey, host: str, hosts: Sequence[str]) -> int:
    """Return the part of the fixed number of requests that belongs to `host`, one of `hosts`."""
    total = int(usable_slack(bounds))
    each, remainder = divmod(total, max(1, len(hosts)))
    return each + (1 if rank_of(key, host, hosts) < remainder else 0)


def rank_of(key: RolloutKey, host: str, hosts: Sequence[str]) -> int:
    """Return the position of `host` in the order of `hosts` for the roll-out, from 0."""
    own = score(_hash_key(key), host)
    return sum(score(_hash_key(key), other) > own for other in hosts if other != host)


def may_expose(log: ExposureLog, bounds: Bounds, slack: float) -> bool:
    """Return whether one more request may go to the new version.

    `slack` is the fixed number of requests that belongs to those hosts whose requests are in `log`.
    """
    return log.exposed + 1 <= bounds.exposure_share * USED_SHARE * log.requests + slack


def sum_exposure(logs: Iterable[ExposureLog]) -> ExposureLog:
    """Return the sums of `logs`."""
    total = ExposureLog()
    for log in logs:
        total.requests += log.requests
        total.exposed += log.exposed
    return total


def is_in_share(key: RolloutKey, request_key: str, share: float) -> bool:
    """Return whether a request is among the `share` (0 to 1) that goes to the new version.

    `request_key` is the same for requests with the same prompt. A larger share includes a smaller
    one, so a prompt moves to the new version once.
    """
    return score(_hash_key(key), request_key) < share * HASH_RANGE


def _hash_key(key: RolloutKey) -> str:
    return f"{key.service}/{key.version}/{key.created}"
