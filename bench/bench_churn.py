"""Cache reuse and overload while targets leave, join and restart."""

from dataclasses import replace

from almondspindle.core.config import Policy
from bench import churn
from bench.churn import ChurnSimulation, RunCounts, TargetOrder
from bench.output import print_figure

POLICY = Policy(
    load_multiple=1.25, load_floor=4, cold_limit=churn.COLD_CAPACITY, slow_start_s=churn.COLD_S
)
NO_SLOW_START = Policy(load_multiple=1.25, load_floor=4, cold_limit=64, slow_start_s=0.0)


def run_simulation(order: TargetOrder, policy: Policy = POLICY) -> RunCounts:
    """Return the counts of one run."""
    return ChurnSimulation(order, policy).run()


def reuse_share(counts: RunCounts) -> float:
    """Return the share of later turns that found their prefix in the cache."""
    return counts.cache_hits / counts.later_turns


def run() -> None:
    """Print the figures. Ratios of cache reuse are relative to the best possible reuse."""
    best = run_simulation(churn.best_possible)
    ring = run_simulation(churn.ranking_order)
    print_figure("cache_reuse_churn_best_share", reuse_share(best), "share")
    print_figure("cache_reuse_churn_share", reuse_share(ring), "share")
    print_figure("cache_reuse_churn", reuse_share(ring) / reuse_share(best), "ratio")
    for order in (churn.round_robin, churn.plain_hash):
        print_figure(
            f"cache_reuse_churn_{order.__name__}",
            reuse_share(run_simulation(order)) / reuse_share(best),
            "ratio",
        )
    print_figure("churn_load_max_over_mean", ring.max_over_mean, "ratio")
    print_figure("churn_over_bound_events", ring.over_bound, "requests")
    print_figure("cold_overload_events", ring.cold_overloads, "requests")
    print_figure("churn_refused", ring.refused / ring.later_turns, "share")
    for multiple in (1.5, 2.0):
        wider = run_simulation(churn.ranking_order, replace(POLICY, load_multiple=multiple))
        print_figure(f"cache_reuse_churn_share_multiple_{multiple:g}", reuse_share(wider), "share")
    without_slow_start = run_simulation(churn.ranking_order, NO_SLOW_START)
    print_figure(
        "cold_overload_events_no_slow_start", without_slow_start.cold_overloads, "requests"
    )
    print_figure(
        "cache_reuse_churn_no_slow_start",
        reuse_share(without_slow_start) / reuse_share(best),
        "ratio",
    )
