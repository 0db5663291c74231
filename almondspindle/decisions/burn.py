"""Compute how fast a service consumes its error budgets."""

from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from almondspindle.core.config import Objectives
from almondspindle.core.telemetry import ServiceTally

MS_PER_S = 1000.0
PERCENT = 100.0


class Objective(StrEnum):
    """The aspects of a service that have objectives."""

    AVAILABILITY = "availability"
    FIRST_TOKEN = "first token"
    BETWEEN_TOKENS = "between tokens"
    COMMITS = "commits answered"


@dataclass(frozen=True, slots=True)
class Burn:
    """The consumption of one error budget within one window.

    `bad` of `total` events missed the objective; `allowed` is the share that may miss it. `rate`
    is the share that missed divided by `allowed`. At a rate of 1 the budget lasts exactly for the
    objective's period. `target_ms` and `measured_ms` are the objective and the actual latency at
    its percentile, None for objectives that are not latencies.
    """

    objective: Objective
    total: int
    bad: int
    allowed: float
    rate: float
    target_ms: float | None = None
    measured_ms: float | None = None


def burns_of(tally: ServiceTally, objectives: Objectives) -> tuple[Burn, ...]:
    """Return the burn of each objective for which `tally` has events."""
    burns = (
        _share_burn(Objective.AVAILABILITY, tally.requests, tally.failed, objectives.availability),
        _latency_burn(
            Objective.FIRST_TOKEN, tally.first_token, objectives.first_token_s, objectives
        ),
        _latency_burn(
            Objective.BETWEEN_TOKENS, tally.gaps, objectives.between_tokens_s, objectives
        ),
        _share_burn(
            Objective.COMMITS, tally.commits, tally.commits_failed, objectives.commits_answered
        ),
    )
    return tuple(burn for burn in burns if burn.total > 0)


def burn_rate(bad: int, total: int, allowed: float) -> float:
    """Return the share of bad events divided by `allowed`; infinite if `allowed` is 0."""
    if total == 0 or bad == 0:
        return 0.0
    return (bad / total) / allowed if allowed > 0 else float("inf")


def _share_burn(objective: Objective, total: int, bad: int, required_share: float) -> Burn:
    allowed = 1.0 - required_share
    return Burn(objective, total, bad, allowed, burn_rate(bad, total, allowed))


def _latency_burn(
    objective: Objective, histogram: HdrHistogram, target_s: float, objectives: Objectives
) -> Burn:
    target_ms = target_s * MS_PER_S
    allowed = 1.0 - objectives.latency_share
    total = histogram.get_total_count()
    bad = count_above(histogram, target_ms)
    measured_ms = histogram.get_value_at_percentile(objectives.latency_share * PERCENT)
    rate = burn_rate(bad, total, allowed)
    return Burn(objective, total, bad, allowed, rate, target_ms, float(measured_ms))


def count_above(histogram: HdrHistogram, bound_ms: float) -> int:
    """Return the number of recorded values above `bound_ms`."""
    return sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_from > bound_ms or item.value_iterated_to > bound_ms
    )
