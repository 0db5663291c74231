"""Decide whether the owner of a target admits one more request to it."""

import math
from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.config import Policy
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import ChatId, TargetName
from almondspindle.core.outcomes import RefusalCode
from almondspindle.decisions.health import Health, is_cold
from almondspindle.decisions.slow_start import is_in_slice, ramp_limit, slice_share

FIRST_REPORT_TIMEOUT_S = 2.0  # longest time that a new owner waits for the first load report
REPORT_LAG_S = 1.0  # age of the load that a report shows


class Exclusivity(StrEnum):
    """How certain an owner is that no other host admits requests to its target."""

    AWAITING_REPORT = "unheard"  # no load report received since ownership began
    SHARED = "shared"  # the previous owner may still admit requests or have some in flight
    EXCLUSIVE = "settled"  # no other host admits requests


# Share of the target's bound that an owner may use, by exclusivity and by whether the start limit
# applies. If it applies, an owner without exclusivity admits nothing, so that two owners together
# stay within that limit.
BOUND_SHARE: dict[tuple[Exclusivity, bool], float] = {
    (Exclusivity.AWAITING_REPORT, False): 0.0,
    (Exclusivity.AWAITING_REPORT, True): 0.0,
    (Exclusivity.SHARED, False): 0.5,
    (Exclusivity.SHARED, True): 0.0,
    (Exclusivity.EXCLUSIVE, False): 1.0,
    (Exclusivity.EXCLUSIVE, True): 1.0,
}


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service: requests in flight on its warm targets, and the number of those."""

    in_flight: int = 0
    warm_targets: int = 0

    def mean(self) -> float:
        """Return the mean requests in flight per warm target, counting the new request.

        Cold targets are left out. If more than 1 - 1/multiple of the targets are cold, a bound on
        a mean over all of them would drop with every refusal until it reached the floor.
        """
        return (self.in_flight + 1) / self.warm_targets if self.warm_targets else 0.0


def sum_digests(digests: list[ServiceDigest]) -> ServiceLoad:
    """Return the load of a service as the sum over the digests of all owners."""
    return ServiceLoad(
        sum(digest.in_flight - digest.cold_in_flight for digest in digests),
        sum(digest.targets - digest.cold for digest in digests),
    )


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What the owner knows about a target when it decides. Loads are in requests in flight.

    `in_flight` counts the owner's own requests. `others_in_flight` estimates those of other hosts
    from the target's report. `boot_confirmed` is true while a request served by the reported boot
    is still open, which shows that the target has not restarted since.
    """

    target: TargetName
    in_flight: int
    others_in_flight: int
    limit: int
    service: ServiceLoad
    health: Health
    exclusivity: Exclusivity
    boot_confirmed: bool


def exclusivity_of(
    health: Health, has_previous_owner: bool, takeover_s: float, now: float
) -> Exclusivity:
    """Return how certain the owner is at `now` that no other host admits requests.

    `takeover_s` is the time that all hosts need to learn of a new owner. After it, a report must
    first show how many requests of the previous owner are still in flight.
    """
    owned_for_s = now - health.owned_since
    if health.answers_polls and health.boot_id is None and owned_for_s < FIRST_REPORT_TIMEOUT_S:
        return Exclusivity.AWAITING_REPORT
    if not has_previous_owner or takeover_s <= 0:
        return Exclusivity.EXCLUSIVE
    if owned_for_s < takeover_s:
        return Exclusivity.SHARED
    complete_from = health.owned_since + takeover_s + REPORT_LAG_S
    if health.answers_polls and (
        health.last_answered_poll_at is None or health.last_answered_poll_at < complete_from
    ):
        return Exclusivity.SHARED
    return Exclusivity.EXCLUSIVE


def estimate_others_in_flight(
    reported: int, own_low: int, own_peak: int, previous: int | None
) -> int:
    """Return an upper bound on other hosts' requests in flight, from a report that lags.

    `own_low` and `own_peak` are the least and the most own requests in flight around the time of
    the report. `previous` is the bound from the previous report, or None if other hosts could
    still admit requests since then. Without new admissions the bound can only shrink, but
    requests beyond the owner's own peak always belong to other hosts.
    """
    at_most = max(0, reported - own_low)
    at_least = max(0, reported - own_peak)
    if previous is None:
        return at_most
    return max(min(previous, at_most), at_least)


def load_bound(policy: Policy, service_mean: float) -> int:
    """Return the bound on a target's requests in flight, as a multiple of the service's mean.

    At a mean of only a few requests the multiple is too strict: ceil(1.25 x 1) = 2 would send a
    third request away from its cache although the target is nearly idle. There
    `Policy.load_floor` is the bound.
    """
    return max(policy.load_floor, math.ceil(policy.load_multiple * service_mean))


def start_limit_binds(policy: Policy, load: TargetLoad, now: float) -> bool:
    """Return whether the target is cold or may have restarted since its last report.

    A restart breaks every open request. A request that began its response before the last poll and
    is still open therefore confirms that the reported boot still runs. So do requests that began
    their responses while a confirming one was open.
    """
    health = load.health
    if is_cold(health, policy, load.limit, now) or health.may_have_restarted:
        return True
    if not health.answers_polls or policy.slow_start_s <= 0:
        return False
    return health.boot_id is None or not load.boot_confirmed


def start_limit(policy: Policy, load: TargetLoad, now: float) -> int:
    """Return the limit on requests in flight that applies while `start_limit_binds` is true.

    If the target may have restarted, the limit falls back to the start of the ramp.
    """
    health = load.health
    may_have_restarted = health.may_have_restarted or (
        health.answers_polls and not load.boot_confirmed
    )
    if may_have_restarted or health.cold_at is None:
        return policy.cold_limit
    return ramp_limit(policy, now - health.cold_at)


def target_bound(policy: Policy, load: TargetLoad, now: float) -> int:
    """Return the number of requests in flight that the target may have at `now`."""
    bound = load.limit
    if load.service.warm_targets:
        bound = min(bound, load_bound(policy, load.service.mean()))
    binds = start_limit_binds(policy, load, now)
    if binds:
        bound = min(bound, start_limit(policy, load, now))
    return math.ceil(bound * BOUND_SHARE[load.exclusivity, binds])


def refusal_of(
    policy: Policy,
    load: TargetLoad,
    chat_id: ChatId | None,
    now: float,
    others_declined: bool = False,
) -> RefusalCode | None:
    """Return the code for refusing one more request, or None if the target admits it.

    A cold target admits only the chats of a growing slice; the others stay on the warm targets
    that hold their cache. Only the limits apply to requests without a chat id, while no target of
    the service is warm, or if no other target takes the chat (`others_declined`).
    """
    starting = load.exclusivity is not Exclusivity.EXCLUSIVE or start_limit_binds(policy, load, now)
    if load.in_flight + load.others_in_flight >= target_bound(policy, load, now):
        return RefusalCode.STARTING if starting else RefusalCode.FULL
    cold_at = load.health.cold_at
    if others_declined or cold_at is None or chat_id is None or not load.service.warm_targets:
        return None
    if not is_cold(load.health, policy, load.limit, now):
        return None
    share = slice_share(policy, now - cold_at, load.service.mean())
    return None if is_in_slice(load.target, chat_id, share) else RefusalCode.STARTING
