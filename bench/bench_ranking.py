"""How long one ranking takes at 1,600 targets."""

from almondspindle.decisions.ranking import RendezvousScan
from bench.output import figure, percentile, timed

TARGETS = 1600
LOOKUPS = 300
CANDIDATES = 6
US_PER_S = 1e6


def run() -> None:
    """Print the median time of one ranking."""
    ranking = RendezvousScan([f"target-{n}" for n in range(TARGETS)])  # type: ignore[misc]
    times = [timed(lambda n=n: ranking.rank(f"chat-{n}", CANDIDATES)) for n in range(LOOKUPS)]
    figure("rank_us_p50_1600", percentile(times, 0.5) * US_PER_S, "us")
