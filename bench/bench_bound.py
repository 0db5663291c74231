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
VIEWS_S = (0.0, 1.0, 3.0, 6.0)
POLICY = Policy(load_multiple=1.25, target_limit=10_000, slow_start_s=0.0)
WARM = Health(0.0, False)
TIGHTENED = ((1.10, 3.0), (1.05, 3.0))  # load multiple, age of the views in seconds


@dataclass
class View:
    """The loads as one sender sees them: a snapshot and its own requests since then."""

    taken_at: float
    loads: Counter[str]
    total: int
    own: Counter[str] = field(default_factory=Counter)


@dataclass
class Result:
    """Counts of one run after its warm-up.

    `worst` is the highest ratio of a target's load to the mean, `first` counts the requests that
    went to the first target of their ranking.
    """

    worst: float = 0.0
    requests: int = 0
    first: int = 0


class Trial:
    """A simulation of one number of targets and senders, with views of one age."""

    def __init__(self, targets: int, senders: int, age_s: float, policy: Policy) -> None:
        self.names = [f"target-{number}" for number in range(targets)]
        self.ring = MultiProbeRing(self.names)
        self.loads: Counter[str] = Counter()
        self.total = 0
        self.age_s = age_s
        self.policy = policy
        self.views = [View(-1e9, Counter(), 0) for _ in range(senders)]
        self.result = Result()

    def run(self, seconds: float) -> Result:
        """Simulate `seconds` of arrivals and return the counts."""
        random = Random(1)
        rate = len(self.names) * MEAN_LOAD / REQUEST_S
        ends: list[tuple[float, str]] = []
        now = 0.0
        while now < seconds:
            now += random.expovariate(rate)
            while ends and ends[0][0] <= now:
                self._change(heappop(ends)[1], -1)
            chat = f"chat-{random.randrange(200_000)}"
            target = self._place(chat, random.randrange(len(self.views)), now)
            heappush(ends, (now + random.expovariate(1 / REQUEST_S), target))
        return self.result

    def _change(self, target: str, step: int) -> None:
        self.loads[target] += step
        self.total += step

    def _place(self, chat: str, sender: int, now: float) -> str:
        ranked = self.ring.rank(chat, CANDIDATES)
        view = self._view(sender, now)
        target = next((name for name in ranked if self._admits(name, view, now)), ranked[0])
        self._change(target, 1)
        view.own[target] += 1
        if now >= WARM_UP_S:
            self.result.requests += 1
            self.result.first += target == ranked[0]
            mean = self.total / len(self.names)
            self.result.worst = max(self.result.worst, self.loads[target] / mean)
        return target

    def _view(self, sender: int, now: float) -> View:
        if self.age_s == 0.0:
            return View(now, self.loads, self.total)
        view = self.views[sender]
        if now - view.taken_at >= self.age_s:
            # Senders refresh their views at different times within one period.
            phase = self.age_s * sender / len(self.views)
            taken_at = now - (now - phase) % self.age_s
            view = self.views[sender] = View(taken_at, self.loads.copy(), self.total)
        return view

    def _admits(self, name: str, view: View, now: float) -> bool:
        own = sum(view.own.values())
        load = TargetLoad(
            name,
            view.loads[name] + view.own[name],
            0,
            self.policy.target_limit,
            ServiceLoad(view.total + own, len(self.names)),
            WARM,
            Exclusivity.EXCLUSIVE,
            True,
        )
        return refusal_of(self.policy, load, None, now) is None


def run() -> None:
    """Print the highest load over the mean and the share of chats on their first target."""
    for targets, senders, seconds in SIZES:
        size = f"{targets}x{senders}"
        for age_s in VIEWS_S:
            result = Trial(targets, senders, age_s, POLICY).run(seconds)
            label = f"{size}_view_{age_s:g}s" if age_s else f"{size}_exact"
            print_figure(f"bound_load_max_over_mean_{label}", result.worst, "ratio")
            if age_s == 0.0 and targets == SIZES[-1][0]:
                print_figure("load_max_over_mean", result.worst, "ratio")
            print_figure(f"bound_first_choice_{label}", result.first / result.requests, "share")
    targets, senders, seconds = SIZES[-1]
    for multiple, age_s in TIGHTENED:
        policy = Policy(load_multiple=multiple, target_limit=10_000, slow_start_s=0.0)
        result = Trial(targets, senders, age_s, policy).run(seconds)
        label = f"{targets}x{senders}_view_{age_s:g}s_multiple_{multiple:g}"
        print_figure(f"bound_load_max_over_mean_{label}", result.worst, "ratio")
        print_figure(f"bound_first_choice_{label}", result.first / result.requests, "share")
