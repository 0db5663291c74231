"""Admission by exact loads at the owner, compared with senders that use stale loads.

Targets, senders and chats are simulated deterministically. The ranking, the load bound and the
refusals come from the production code.
"""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from almondspindle.core.config import Policy
from almondspindle.decisions.admission import Exclusivity, ServiceLoad, TargetLoad, refusal_of
from almondspindle.decisions.health import Health
from almondspindle.decisions.ranking import MultiProbeRing
from bench.output import print_figure

MEAN_LOAD = 46  # requests in flight per target
REQUEST_S = 5.0
WARM_UP_S = 10.0
CANDIDATES = 12
SIZES = ((9, 8, 60.0), (200, 360, 24.0))  # targets, senders, seconds
VIEW_AGES_S = (0.0, 1.0, 3.0, 6.0)
POLICY = Policy(load_multiple=1.25, target_limit=10_000, slow_start_s=0.0)
WARM_HEALTH = Health(0.0, False)
TIGHTER_BOUNDS = ((1.10, 3.0), (1.05, 3.0))  # load multiple, age of the views in seconds


@dataclass
class LoadView:
    """The loads as one sender sees them: a snapshot and its own requests since then."""

    taken_at: float
    loads: Counter[str]
    total: int
    own_requests: Counter[str] = field(default_factory=Counter)


@dataclass
class RunCounts:
    """Counts of one run after its warm-up.

    `max_over_mean` is the highest ratio of a target's load to the mean load; `on_first_target`
    counts the requests that went to the first target of their ranking.
    """

    max_over_mean: float = 0.0
    requests: int = 0
    on_first_target: int = 0


class Simulation:
    """A simulation of one number of targets and senders, with views of one age."""

    def __init__(self, targets: int, senders: int, age_s: float, policy: Policy) -> None:
        self.names = [f"target-{number}" for number in range(targets)]
        self.ring = MultiProbeRing(self.names)
        self.loads: Counter[str] = Counter()
        self.total = 0
        self.age_s = age_s
        self.policy = policy
        self.views = [LoadView(-1e9, Counter(), 0) for _ in range(senders)]
        self.counts = RunCounts()

    def run(self, seconds: float) -> RunCounts:
        """Simulate `seconds` of arrivals and return the counts."""
        random = Random(1)
        rate = len(self.names) * MEAN_LOAD / REQUEST_S
        departures: list[tuple[float, str]] = []
        now = 0.0
        while now < seconds:
            now += random.expovariate(rate)
            while departures and departures[0][0] <= now:
                self._change_load(heappop(departures)[1], -1)
            chat = f"chat-{random.randrange(200_000)}"
            target = self._assign(chat, random.randrange(len(self.views)), now)
            heappush(departures, (now + random.expovariate(1 / REQUEST_S), target))
        return self.counts

    def _change_load(self, target: str, step: int) -> None:
        self.loads[target] += step
        self.total += step

    def _assign(self, chat: str, sender: int, now: float) -> str:
        ranked = self.ring.rank(chat, CANDIDATES)
        view = self._view(sender, now)
        target = next((name for name in ranked if self._admits(name, view, now)), ranked[0])
        self._change_load(target, 1)
        view.own_requests[target] += 1
        if now >= WARM_UP_S:
            self.counts.requests += 1
            self.counts.on_first_target += target == ranked[0]
            mean = self.total / len(self.names)
            self.counts.max_over_mean = max(self.counts.max_over_mean, self.loads[target] / mean)
        return target

    def _view(self, sender: int, now: float) -> LoadView:
        if self.age_s == 0.0:
            return LoadView(now, self.loads, self.total)
        view = self.views[sender]
        if now - view.taken_at >= self.age_s:
            # Senders refresh their views at different times within one period.
            phase = self.age_s * sender / len(self.views)
            taken_at = now - (now - phase) % self.age_s
            view = self.views[sender] = LoadView(taken_at, self.loads.copy(), self.total)
        return view

    def _admits(self, name: str, view: LoadView, now: float) -> bool:
        own = sum(view.own_requests.values())
        load = TargetLoad(
            name,
            view.loads[name] + view.own_requests[name],
            0,
            self.policy.target_limit,
            ServiceLoad(view.total + own, len(self.names)),
            WARM_HEALTH,
            Exclusivity.EXCLUSIVE,
            True,
        )
        return refusal_of(self.policy, load, None, now) is None


def run() -> None:
    """Print the highest load over the mean and the share of chats on their first target."""
    for targets, senders, seconds in SIZES:
        size = f"{targets}x{senders}"
        for age_s in VIEW_AGES_S:
            result = Simulation(targets, senders, age_s, POLICY).run(seconds)
            label = f"{size}_view_{age_s:g}s" if age_s else f"{size}_exact"
            print_figure(f"bound_load_max_over_mean_{label}", result.max_over_mean, "ratio")
            if age_s == 0.0 and targets == SIZES[-1][0]:
                print_figure("load_max_over_mean", result.max_over_mean, "ratio")
            print_figure(
                f"bound_first_choice_{label}", result.on_first_target / result.requests, "share"
            )
    targets, senders, seconds = SIZES[-1]
    for multiple, age_s in TIGHTER_BOUNDS:
        policy = Policy(load_multiple=multiple, target_limit=10_000, slow_start_s=0.0)
        result = Simulation(targets, senders, age_s, policy).run(seconds)
        label = f"{targets}x{senders}_view_{age_s:g}s_multiple_{multiple:g}"
        print_figure(f"bound_load_max_over_mean_{label}", result.max_over_mean, "ratio")
        print_figure(
            f"bound_first_choice_{label}", result.on_first_target / result.requests, "share"
        )
