"""Whether an owner admits one more request to a target."""

import math
from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.config import Policy
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import ChatId, TargetName
from almondspindle.core.outcomes import RefusalCode
from almondspindle.decisions.health import Health, is_cold
from almondspindle.decisions.slow_start import is_in_slice, ramp_limit, slice_share

FIRST_REPORT_TIMEOUT_S = 2.0  # longest wait of a new owner for the first report
REPORT_LAG_S = 1.0  # age of what a report shows


class Exclusivity(StrEnum):
    """How far an owner may rely on being the only one."""

    AWAITING_REPORT = "unheard"  # no report since ownership began
    SHARED = "shared"  # the previous owner may still admit
    EXCLUSIVE = "settled"


# Share of its bound that a target gets, by trust and by whether its start limit binds. Where it
# binds, a second owner gets nothing, so that two owners together stay within that limit.
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
    """Sums over all targets of a service. Loads are requests in flight."""

    in_flight: int = 0
    warm_targets: int = 0

    def mean(self) -> float:
        """Return the mean load of the warm targets with the new request counted in.

        Cold targets stay out of the mean: with more than 1 - 1/multiple of the targets cold, a
        bound on a mean over all of them would sink with every refusal until it met the floor.
        """
        return (self.in_flight + 1) / self.warm_targets if self.warm_targets else 0.0


def sum_digests(digests: list[ServiceDigest]) -> ServiceLoad:
    """Return the load of a service from the digests of all owners."""
    return ServiceLoad(
        sum(digest.in_flight - digest.cold_in_flight for digest in digests),
        sum(digest.targets - digest.cold for digest in digests),
    )


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What the owner knows of a target when it decides. Loads are requests in flight.

    `in_flight` are the owner's own, `foreign` those that others have there by the target's
    report. `proven` tells that a request served by the reported boot is still open, so that the
    target can't have restarted since.
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
    health: Health, has_previous: bool, takeover_s: float, now: float
) -> Exclusivity:
    """Return how far the owner may rely on being the only one at `now`.

    `takeover_s` is the time for all hosts to learn of a new owner. After it a report must show
    what the previous owner left in flight.
    """
    age_s = now - health.owned_since
    if health.answers_polls and health.boot_id is None and age_s < FIRST_REPORT_TIMEOUT_S:
        return Exclusivity.AWAITING_REPORT
    if not has_previous or takeover_s <= 0:
        return Exclusivity.EXCLUSIVE
    if age_s < takeover_s:
        return Exclusivity.SHARED
    seen_from = health.owned_since + takeover_s + REPORT_LAG_S
    if health.answers_polls and (
        health.last_answered_poll_at is None or health.last_answered_poll_at < seen_from
    ):
        return Exclusivity.SHARED
    return Exclusivity.EXCLUSIVE


def estimate_others_in_flight(
    reported: int, own_low: int, own_peak: int, previous: int | None
) -> int:
    """Return a bound on the requests that others have in flight, by a report that lags.

    `own_low` and `own_peak` bound the owner's own requests while the report was made. `before` is
    the bound by the report before, None where others could still admit work since then: what they
    left behind can only shrink. More than the owner's own peak is others' work in any case.
    """
    at_most = max(0, reported - own_low)
    at_least = max(0, reported - own_peak)
    if previous is None:
        return at_most
    return max(min(previous, at_most), at_least)


def load_bound(policy: Policy, service_mean: float) -> int:
    """Return the highest number of requests in flight that the set multiple allows.

    A mean of a few requests makes the multiple useless: ceil(1.25 x 1) = 2 sends a third turn away
    from its cache at a nearly idle target. `Policy.load_floor` is the bound there.
    """
    return max(policy.load_floor, math.ceil(policy.load_multiple * service_mean))


def start_limit_binds(policy: Policy, load: TargetLoad, now: float) -> bool:
    """Return whether the target is cold, or a restart since the last report can't be ruled out.

    A restart breaks every open request. One that was answered before the last poll and is still
    open thus shows that the boot which the report told of still runs, and so do the requests
    answered while it was open.
    """
    health = load.health
    if is_cold(health, policy, load.limit, now) or health.may_have_restarted:
        return True
    if not health.answers_polls or policy.slow_start_s <= 0:
        return False
    return health.boot_id is None or not load.boot_confirmed


def start_limit(policy: Policy, load: TargetLoad, now: float) -> int:
    """Return the limit of a target for which `start_limit_binds`, in requests in flight.

    A doubt about the boot puts the ramp back to its beginning.
    """
    health = load.health
    doubtful = health.may_have_restarted or (health.answers_polls and not load.boot_confirmed)
    if doubtful or health.cold_at is None:
        return policy.cold_limit
    return ramp_limit(policy, now - health.cold_at)


def target_bound(policy: Policy, load: TargetLoad, now: float) -> int:
    """Return how many requests in flight the target may have at `now`."""
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
    no_other: bool = False,
) -> RefusalCode | None:
    """Return why one more request does not fit the target, or None when it does.

    A slice keeps chats on the warm targets that hold their cache. While no target of the service
    is warm, or none takes the chat (`no_other`), only the limits bind.
    """
    starting = load.exclusivity is not Exclusivity.EXCLUSIVE or start_limit_binds(policy, load, now)
    if load.in_flight + load.others_in_flight >= target_bound(policy, load, now):
        return RefusalCode.STARTING if starting else RefusalCode.FULL
    cold_at = load.health.cold_at
    if no_other or cold_at is None or chat_id is None or not load.service.warm_targets:
        return None
    if not is_cold(load.health, policy, load.limit, now):
        return None
    share = slice_share(policy, now - cold_at, load.service.mean())
    return None if is_in_slice(load.target, chat_id, share) else RefusalCode.STARTING
