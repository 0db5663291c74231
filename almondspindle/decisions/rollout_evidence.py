"""Judge the responses of a new version against those of the old one.

The load that this answers: a few responses a second of the new version on each route, next to
targets that fail or are slow for reasons of their own. Both versions are compared on the same route
over the same time, so what befalls both is no evidence.

A version may turn bad after many good responses. So the log-likelihood ratio is also compared with
the lowest one so far, which is a cumulative sum test (E. S. Page, "Continuous Inspection Schemes",
Biometrika 41, 1954).
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from almondspindle.core.identifiers import TargetName
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.rollouts import RouteTally, Tally
from almondspindle.decisions.error_rate import FAILED_ENDS, MIN_SERVER_ERROR_STATUS
from almondspindle.decisions.sequential_test import (
    ErrorRates,
    hypotheses,
    log_likelihood_ratio,
)
from almondspindle.decisions.version_pools import canary_rank

OLD_VERSIONS = TargetName("")  # stands for all targets of old versions in a tally
OTHER_TARGETS = TargetName("(others)")
BUCKETS = 14  # of durations; each covers a factor of the square root of 2
FIRST_BUCKET_SHARE = 1 / 16  # of the route's objective; shorter durations are in the first bucket
SLOW_SHARE = 0.1  # share of the old version's responses that counts as slow
MIN_BACKGROUND_RATE = 0.02  # sound targets fail 1 to 2 responses in 100
RATE_INCREASE = 0.15
ERROR_RATES = ErrorRates(false_high=0.0005, false_low=0.002)
MIN_OLD_DURATIONS = 20  # of a route, from which its slow responses can be told
MIN_RESPONSES = 20  # of the new version, for a verdict at the latest time
# The part of its share that the new version gets, from a number of its responses on or from a part
# of the duration on: a quiet service gets few responses in all.
CANARY_STEPS = ((20, 0.2, 1.0), (8, 0.1, 0.5), (0, 0.0, 0.25))
BAD_ENDS = FAILED_ENDS | {AttemptEnd.TIMED_OUT}
MAX_ROUTES = 8  # routes with counts of their own in a report
MAX_TARGETS = 8  # targets of the new version with counts of their own in a report


class Verdict(StrEnum):
    """What the responses show of the new version."""

    GOOD = "good"
    BAD = "bad"
    OPEN = "open"


TestKey = tuple[str, str]  # route and what is measured
Floors = Mapping[TestKey, tuple[float, float]]  # the lowest ratios, with and without the worst


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """The test of one measure on one route, or on all of them if `route` is empty.

    `ratio` is the log-likelihood ratio of a bad to a good version, and `rise` the difference to the
    lowest one so far. The others are the same without the target that has most of the bad
    responses.
    """

    route: str
    measure: str
    responses: int
    bad: int
    ratio: float
    ratio_without_worst: float
    rise: float = 0.0
    rise_without_worst: float = 0.0

    @property
    def key(self) -> TestKey:
        """Return what identifies the test."""
        return self.route, self.measure


@dataclass(frozen=True, slots=True)
class Assessment:
    """The verdict, the test that decided it or is closest to that, and all tests.

    `floors` has the lowest ratios so far; they are passed to the next assessment.
    """

    verdict: Verdict
    decisive: RouteEvidence | None = None
    tests: tuple[RouteEvidence, ...] = ()
    responses: int = 0
    floors: Floors = field(default_factory=dict)

    @property
    def leans_to_good(self) -> bool:
        """Return whether no test speaks against the version, and there are enough responses."""
        if self.responses < MIN_RESPONSES:
            return False
        return not any(map(_is_against, self.tests))


def canary_share(exposure_share: float, responses: int, progress: float) -> float:
    """Return the share of requests for the new version after `responses` of its responses.

    `progress` is the part of the duration that has passed, from 0 to 1.
    """
    parts = (part for least, since, part in CANARY_STEPS if responses >= least or progress >= since)
    return exposure_share * next(parts, 0.0)


def is_failure(report: AttemptReport) -> bool | None:
    """Return whether the target failed the attempt, None if its end says nothing about that."""
    if report.end is AttemptEnd.ANSWERED:
        return report.status >= MIN_SERVER_ERROR_STATUS
    return True if report.end in BAD_ENDS else None


def is_timed(report: AttemptReport) -> bool:
    """Return whether the duration of the attempt is that of a successful response."""
    return report.end is AttemptEnd.ANSWERED and report.status < MIN_SERVER_ERROR_STATUS


def duration_bucket(duration_s: float, objective_s: float) -> int:
    """Return the bucket of a duration on a route with the latency objective `objective_s`."""
    shortest_s = (objective_s or 1.0) * FIRST_BUCKET_SHARE
    if duration_s <= shortest_s:
        return 0
    return min(BUCKETS - 1, 1 + int(2 * math.log2(duration_s / shortest_s)))


def add_response(tally: Tally, is_failure: bool, bucket: int | None) -> Tally:
    """Return `tally` with one more response, in `bucket` of the durations if it was timed."""
    durations = list(tally.durations or (0,) * BUCKETS)
    if bucket is not None:
        durations[bucket] += 1
    return Tally(tally.responses + 1, tally.failures + is_failure, tuple(durations))


def sum_tallies(tallies: Iterable[RouteTally]) -> tuple[RouteTally, ...]:
    """Return one tally for each route and target. Histograms of odd lengths are left out."""
    sums: dict[tuple[str, TargetName], Tally] = {}
    for item in tallies:
        key = (item.route, item.target)
        sums[key] = _add(sums.get(key, Tally()), item.tally)
    return tuple(RouteTally(route, target, tally) for (route, target), tally in sums.items())


def _add(a: Tally, b: Tally) -> Tally:
    counts = [t.durations for t in (a, b) if len(t.durations) == BUCKETS]
    durations = tuple(sum(bucket) for bucket in zip(*counts, strict=True))
    return Tally(a.responses + b.responses, a.failures + b.failures, durations)


def counted_alone(version: str, targets: Iterable[TargetName]) -> frozenset[TargetName]:
    """Return those of `targets`, all of `version`, whose responses are counted by target.

    All hosts choose the same ones, the first that are used among them. The others count together.
    """
    ranked = sorted(targets, key=lambda target: canary_rank(version, target))
    return frozenset(ranked[:MAX_TARGETS])


def bound_tallies(tallies: Iterable[RouteTally]) -> tuple[RouteTally, ...]:
    """Return `tallies` with a bounded number of routes and targets, as fits a report.

    The less busy routes count together under an empty name, and the less busy targets of the new
    version under `OTHER_TARGETS`.
    """
    items = tuple(tallies)
    routes = _busiest(((item.route, item) for item in items), MAX_ROUTES)
    new = [item for item in items if item.target != OLD_VERSIONS]
    targets = _busiest(((item.target, item) for item in new), MAX_TARGETS + 1) | {OLD_VERSIONS}
    return sum_tallies(
        RouteTally(
            item.route if item.route in routes else "",
            item.target if item.target in targets else OTHER_TARGETS,
            item.tally,
        )
        for item in items
    )


def _busiest(items: Iterable[tuple[str, RouteTally]], count: int) -> set[str]:
    """Return the `count` names with the most responses."""
    load: dict[str, int] = defaultdict(int)
    for name, item in items:
        load[name] += item.tally.responses
    return set(sorted(load, key=lambda name: (-load[name], name))[:count])


@dataclass(slots=True)
class _Counts:
    """Observations and bad ones by target of the new version, and the rate of the old one."""

    background: float = 0.0
    by_target: dict[TargetName, tuple[int, int]] = field(default_factory=dict)

    def add(self, target: TargetName, bad: int, observations: int) -> None:
        known_bad, known = self.by_target.get(target, (0, 0))
        self.by_target[target] = (known_bad + bad, known + observations)


def assess(tallies: Iterable[RouteTally], floors: Floors) -> Assessment:
    """Return the verdict on the new version that follows from the sums over all hosts.

    `floors` are those of the last assessment, none before the first.
    """
    by_route: dict[str, dict[TargetName, Tally]] = defaultdict(dict)
    for item in sum_tallies(tallies):
        by_route[item.route][item.target] = item.tally
    tests = [
        _compare(_test(route, name, counts), floors)
        for name, count in MEASURES.items()
        for route, counts in _count_all(by_route, count).items()
        if counts.by_target
    ]
    responses = sum(
        tally.responses
        for targets in by_route.values()
        for target, tally in targets.items()
        if target != OLD_VERSIONS
    )
    lowest = {**floors, **{test.key: _floor(test) for test in tests}}
    bad = [test for test in tests if _is_bad(test)]
    if bad:
        decisive = max(bad, key=lambda test: test.rise)
        return Assessment(Verdict.BAD, decisive, tuple(tests), responses, lowest)
    totals = [test for test in tests if not test.route]
    closest = max(totals, key=lambda test: test.ratio, default=None)
    is_good = (
        len(totals) == len(MEASURES)
        and all(test.ratio <= ERROR_RATES.lower_bound for test in totals)
        and not any(map(_is_against, tests))
    )
    verdict = Verdict.GOOD if is_good else Verdict.OPEN
    return Assessment(verdict, closest, tuple(tests), responses, lowest)


def _is_bad(test: RouteEvidence) -> bool:
    """Return whether `test` shows that the version is bad, and not a single target."""
    return min(test.rise, test.rise_without_worst) >= ERROR_RATES.upper_bound


def _is_against(test: RouteEvidence) -> bool:
    """Return whether `test` speaks against the version, though it may not show that it is bad."""
    has_risen = min(test.rise, test.rise_without_worst) >= ERROR_RATES.upper_bound / 2
    return has_risen or min(test.ratio, test.ratio_without_worst) > 0


def _compare(test: RouteEvidence, floors: Floors) -> RouteEvidence:
    """Return `test` with its rise from the lowest ratios so far, which were 0 at the start."""
    lowest, lowest_without_worst = floors.get(test.key, (0.0, 0.0))
    return replace(
        test,
        rise=test.ratio - min(lowest, test.ratio),
        rise_without_worst=test.ratio_without_worst
        - min(lowest_without_worst, test.ratio_without_worst),
    )


def _floor(test: RouteEvidence) -> tuple[float, float]:
    return test.ratio - test.rise, test.ratio_without_worst - test.rise_without_worst


Count = Callable[[Mapping[TargetName, Tally]], _Counts]


def _count_all(
    by_route: Mapping[str, Mapping[TargetName, Tally]], count: Count
) -> dict[str, _Counts]:
    """Return the counts of each route, and under an empty name those of all routes."""
    counts = {route: count(targets) for route, targets in by_route.items() if route}
    total = _Counts()
    weight = 0
    for route_counts in counts.values():
        observations = sum(number for _, number in route_counts.by_target.values())
        total.background += route_counts.background * observations
        weight += observations
        for target, (bad, number) in route_counts.by_target.items():
            total.add(target, bad, number)
    total.background /= max(1, weight)
    return {**counts, "": total}


def _count_failures(targets: Mapping[TargetName, Tally]) -> _Counts:
    old = targets.get(OLD_VERSIONS, Tally())
    counts = _Counts(old.failures / old.responses if old.responses else 0.0)
    for target, tally in targets.items():
        if target != OLD_VERSIONS and tally.responses:
            counts.add(target, tally.failures, tally.responses)
    return counts


def _count_slow(targets: Mapping[TargetName, Tally]) -> _Counts:
    old = targets.get(OLD_VERSIONS, Tally()).durations
    timed = sum(old)
    if timed < MIN_OLD_DURATIONS:
        return _Counts()
    first_slow = _first_slow_bucket(old)
    counts = _Counts(sum(old[first_slow:]) / timed)
    for target, tally in targets.items():
        observations = sum(tally.durations)
        if target != OLD_VERSIONS and observations:
            counts.add(target, sum(tally.durations[first_slow:]), observations)
    return counts


def _first_slow_bucket(durations: tuple[int, ...]) -> int:
    """Return the lowest bucket from which on at most `SLOW_SHARE` of the durations lie."""
    allowed = SLOW_SHARE * sum(durations)
    tail, bucket = 0, len(durations)
    while bucket > 1 and tail + durations[bucket - 1] <= allowed:
        bucket -= 1
        tail += durations[bucket]
    return bucket


MEASURES: dict[str, Count] = {"failed": _count_failures, "slow": _count_slow}


def _test(route: str, name: str, counts: _Counts) -> RouteEvidence:
    rates = hypotheses(counts.background, MIN_BACKGROUND_RATE, RATE_INCREASE)
    bad = sum(target_bad for target_bad, _ in counts.by_target.values())
    number = sum(observations for _, observations in counts.by_target.values())
    ratio = log_likelihood_ratio(bad, number, rates)
    if len(counts.by_target) == 1:
        return RouteEvidence(route, name, number, bad, ratio, ratio)
    worst_bad, worst_number = max(counts.by_target.values())
    rest = log_likelihood_ratio(bad - worst_bad, number - worst_number, rates)
    return RouteEvidence(route, name, number, bad, ratio, rest)
