"""What one ranking costs, how even the shares are, and what a join or leave changes."""

import tracemalloc
from random import Random

from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import ConfigChanged, RosterChanged
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Service, ServiceKind
from almondspindle.core.roster import Host, Roster, Target
from almondspindle.decisions import ranking
from almondspindle.decisions.hashing import score
from almondspindle.decisions.ranking import MultiProbeRing, RendezvousScan
from bench.output import duration_of, percentile, print_figure

TARGETS = 1600
ALL_TARGETS = 11_000
LOOKUPS = 2000
SCANS = 200
CHANGES = 200
MOVED_KEYS = 20_000
CANDIDATES = 6
HOSTS = 110
ZONES = 10
US_PER_S = 1e6
MS_PER_S = 1e3
MB = 1 << 20
SPAN = 1 << ranking.SPAN_BITS


def names(count: int) -> list[str]:
    """Return the names of `count` targets."""
    return [f"target-{number}" for number in range(count)]


def exact_shares(points_of_target: list[list[int]], probes: int) -> list[float]:
    """Return each target's share of all keys over the mean share, in rising order.

    For independent probes a point with gap g before it wins the integral from 0 to g of
    k (1 - F(x))^(k - 1), where F(x) is the part of the ring at most x before some point.
    """
    points = sorted((point, t) for t, own in enumerate(points_of_target) for point in own)
    gaps = sorted(
        ((points[n][0] - points[n - 1][0]) % SPAN / SPAN, points[n][1]) for n in range(len(points))
    )
    shares = [0.0] * len(points_of_target)
    covered = integral = before = 0.0
    for index, (gap, target) in enumerate(gaps):
        longer = len(gaps) - index
        now_covered = min(1.0, covered + longer * (gap - before))
        integral += ((1 - covered) ** probes - (1 - now_covered) ** probes) / longer
        covered, before = now_covered, gap
        shares[target] += integral
    return sorted(share * len(shares) for share in shares)


def run() -> None:
    """Print the figures of the ranking."""
    lookup_times()
    skew()
    changes()
    memory()
    moved()
    directory_change()


def lookup_times() -> None:
    """Print the median time of a look-up, and the naive scan's over it."""
    scan = RendezvousScan(names(TARGETS))
    naive = [duration_of(lambda n=n: scan.rank(f"chat-{n}", CANDIDATES)) for n in range(SCANS)]
    for count, label in ((TARGETS, "1600"), (ALL_TARGETS, "11000")):
        rank = MultiProbeRing(names(count)).rank
        times = [
            duration_of(lambda n=n, r=rank: r(f"chat-{n}", CANDIDATES)) for n in range(LOOKUPS)
        ]
        print_figure(f"rank_us_p50_{label}", percentile(times, 0.5) * US_PER_S, "us")
        if count == TARGETS:
            speedup = percentile(naive, 0.5) / percentile(times, 0.5)
            print_figure("rank_us_p50_naive_1600", percentile(naive, 0.5) * US_PER_S, "us")
            print_figure("rank_speedup_vs_naive_1600", speedup, "ratio")


def skew() -> None:
    """Print the shares of the luckiest and the least lucky target over the mean."""
    shares = exact_shares(
        [ranking.ring_points(name) for name in names(TARGETS)], ranking.PROBES_PER_KEY
    )
    print_figure("rank_skew_max_over_mean_1600", shares[-1], "ratio")
    print_figure("rank_skew_min_over_mean_1600", shares[0], "ratio")
    for points, probes in ((1, 21), (2, 11), (8, 6), (41, 1), (100, 1)):
        other = [[score(str(n), name) for n in range(points)] for name in names(TARGETS)]
        shares = exact_shares(other, probes)
        label = f"{points}_points_{probes}_probes"
        print_figure(f"rank_skew_max_over_mean_1600_{label}", shares[-1], "ratio")
        print_figure(f"rank_skew_min_over_mean_1600_{label}", shares[0], "ratio")


def changes() -> None:
    """Print the median time of one join or leave in a ring."""
    ring = MultiProbeRing(names(TARGETS))
    times = []
    for number in range(CHANGES):
        name = f"target-{number}"
        times += [
            duration_of(lambda name=name: ring.remove(name)),
            duration_of(lambda name=name: ring.add(name)),
        ]
    print_figure("rank_apply_change_ms_1600", percentile(times, 0.5) * MS_PER_S, "ms")


def memory() -> None:
    """Print what a ring of all targets takes beside their names."""
    made = names(ALL_TARGETS)
    tracemalloc.start()
    ring = MultiProbeRing(made)
    print_figure("rank_memory_mb_11000", tracemalloc.get_traced_memory()[0] / MB, "MB")
    tracemalloc.stop()
    assert len(ring) == ALL_TARGETS


def moved() -> None:
    """Print the share of the other targets' chats whose first choice changes at a leave."""
    ring = MultiProbeRing(names(TARGETS))
    keys = [f"chat-{number}" for number in range(MOVED_KEYS)]
    before = {key: ring.rank(key, 1)[0] for key in keys}
    gone = Random(7).choice(names(TARGETS))
    ring.remove(gone)
    others = [key for key in keys if before[key] != gone]
    changed = sum(ring.rank(key, 1)[0] != before[key] for key in others)
    print_figure("chats_moved_excess", changed / len(others), "share")


def roster(count: int) -> Roster:
    """Return a roster with `count` targets over 10 zones and 7 services."""
    hosts = {f"h{n}": Host(f"h{n}", f"z{n % ZONES}", f"127.0.0.1:{n}") for n in range(HOSTS)}
    made = (
        Target(name, f"s{n % 7}", f"z{n % ZONES}", f"127.0.0.1:{n}")
        for n, name in enumerate(names(count))
    )
    return Roster(hosts, {target.name: target for target in made})


def directory_change() -> None:
    """Print how long the directory takes over the first roster and over one more target."""
    directory = DirectoryController(ManualClock(), "h0")
    services = {f"s{n}": Service(f"s{n}", ServiceKind.CHAT) for n in range(7)}
    directory.handle(ConfigChanged(ConfigSet(1, services=services)), 0.0)
    first, more = roster(ALL_TARGETS), roster(ALL_TARGETS + 1)
    whole = duration_of(lambda: directory.handle(RosterChanged(first), 0.0))
    one = duration_of(lambda: directory.handle(RosterChanged(more), 0.0))
    print_figure("directory_first_roster_ms_11000", whole * MS_PER_S, "ms")
    print_figure("directory_apply_change_ms_11000", one * MS_PER_S, "ms")
