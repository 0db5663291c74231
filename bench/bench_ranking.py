"""The time of a ranking, the skew of the shares, and the effect of a join or leave."""

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
BYTES_PER_MB = 1 << 20
SPAN = 1 << ranking.SPAN_BITS


def target_names(count: int) -> list[str]:
    """Return the names of `count` targets."""
    return [f"target-{number}" for number in range(count)]


def exact_shares(points_of_target: list[list[int]], probes: int) -> list[float]:
    """Return the share of all keys of each target over the mean share, in ascending order.

    For independent probes a point with gap g before it wins the integral from 0 to g of
    k (1 - F(x))^(k - 1), where F(x) is the part of the ring at most x before some point.
    """
    points = sorted((point, target) for target, own in enumerate(points_of_target) for point in own)
    gaps = sorted(
        ((points[n][0] - points[n - 1][0]) % SPAN / SPAN, points[n][1]) for n in range(len(points))
    )
    shares = [0.0] * len(points_of_target)
    covered = integral = before = 0.0
    for index, (gap, target) in enumerate(gaps):
        remaining = len(gaps) - index
        now_covered = min(1.0, covered + remaining * (gap - before))
        integral += ((1 - covered) ** probes - (1 - now_covered) ** probes) / remaining
        covered, before = now_covered, gap
        shares[target] += integral
    return sorted(share * len(shares) for share in shares)


def run() -> None:
    """Print the figures of the ranking."""
    measure_lookups()
    measure_skew()
    measure_changes()
    measure_memory()
    measure_moved_chats()
    measure_directory()


def measure_lookups() -> None:
    """Print the median time of a lookup, and how many times longer the naive scan takes."""
    scan = RendezvousScan(target_names(TARGETS))
    naive = [duration_of(lambda n=n: scan.rank(f"chat-{n}", CANDIDATES)) for n in range(SCANS)]
    for count, label in ((TARGETS, "1600"), (ALL_TARGETS, "11000")):
        rank = MultiProbeRing(target_names(count)).rank
        times = [
            duration_of(lambda n=n, r=rank: r(f"chat-{n}", CANDIDATES)) for n in range(LOOKUPS)
        ]
        print_figure(f"rank_us_p50_{label}", percentile(times, 0.5) * US_PER_S, "us")
        if count == TARGETS:
            speedup = percentile(naive, 0.5) / percentile(times, 0.5)
            print_figure("rank_us_p50_naive_1600", percentile(naive, 0.5) * US_PER_S, "us")
            print_figure("rank_speedup_vs_naive_1600", speedup, "ratio")


def measure_skew() -> None:
    """Print the highest and the lowest share of a target over the mean share.

    Further combinations of points per target and probes per key are printed for comparison.
    """
    shares = exact_shares(
        [ranking.ring_points(name) for name in target_names(TARGETS)], ranking.PROBES_PER_KEY
    )
    print_figure("rank_skew_max_over_mean_1600", shares[-1], "ratio")
    print_figure("rank_skew_min_over_mean_1600", shares[0], "ratio")
    for points, probes in ((1, 21), (2, 11), (8, 6), (41, 1), (100, 1)):
        target_points = [
            [score(str(n), name) for n in range(points)] for name in target_names(TARGETS)
        ]
        shares = exact_shares(target_points, probes)
        label = f"{points}_points_{probes}_probes"
        print_figure(f"rank_skew_max_over_mean_1600_{label}", shares[-1], "ratio")
        print_figure(f"rank_skew_min_over_mean_1600_{label}", shares[0], "ratio")


def measure_changes() -> None:
    """Print the median time to apply one join or leave to a ring."""
    ring = MultiProbeRing(target_names(TARGETS))
    times = []
    for number in range(CHANGES):
        name = f"target-{number}"
        times += [
            duration_of(lambda name=name: ring.remove(name)),
            duration_of(lambda name=name: ring.add(name)),
        ]
    print_figure("rank_apply_change_ms_1600", percentile(times, 0.5) * MS_PER_S, "ms")


def measure_memory() -> None:
    """Print the memory of a ring of all targets, without their names."""
    all_names = target_names(ALL_TARGETS)
    tracemalloc.start()
    ring = MultiProbeRing(all_names)
    print_figure("rank_memory_mb_11000", tracemalloc.get_traced_memory()[0] / BYTES_PER_MB, "MB")
    tracemalloc.stop()
    assert len(ring) == ALL_TARGETS


def measure_moved_chats() -> None:
    """Print the share of chats that change their first target although it did not leave."""
    ring = MultiProbeRing(target_names(TARGETS))
    keys = [f"chat-{number}" for number in range(MOVED_KEYS)]
    before = {key: ring.rank(key, 1)[0] for key in keys}
    removed = Random(7).choice(target_names(TARGETS))
    ring.remove(removed)
    others = [key for key in keys if before[key] != removed]
    changed = sum(ring.rank(key, 1)[0] != before[key] for key in others)
    print_figure("chats_moved_excess", changed / len(others), "share")


def make_roster(count: int) -> Roster:
    """Return a roster with `count` targets over 10 zones and 7 services."""
    hosts = {f"h{n}": Host(f"h{n}", f"z{n % ZONES}", f"127.0.0.1:{n}") for n in range(HOSTS)}
    targets = (
        Target(name, f"s{n % 7}", f"z{n % ZONES}", f"127.0.0.1:{n}")
        for n, name in enumerate(target_names(count))
    )
    return Roster(hosts, {target.name: target for target in targets})


def measure_directory() -> None:
    """Print the time of the directory to apply its first roster, and one with one more target."""
    directory = DirectoryController(ManualClock(), "h0")
    services = {f"s{n}": Service(f"s{n}", ServiceKind.CHAT) for n in range(7)}
    directory.handle(ConfigChanged(ConfigSet(1, services=services)), 0.0)
    first_roster, next_roster = make_roster(ALL_TARGETS), make_roster(ALL_TARGETS + 1)
    first_s = duration_of(lambda: directory.handle(RosterChanged(first_roster), 0.0))
    change_s = duration_of(lambda: directory.handle(RosterChanged(next_roster), 0.0))
    print_figure("directory_first_roster_ms_11000", first_s * MS_PER_S, "ms")
    print_figure("directory_apply_change_ms_11000", change_s * MS_PER_S, "ms")
