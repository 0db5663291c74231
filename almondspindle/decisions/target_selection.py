"""Which target a request goes to.

Requests that share a part of their prompt rank the targets alike, by rendezvous hashing, so that
the part is read by few targets. A target near its limit is passed over for the next in the order.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from almondspindle.core.identifiers import TargetName, ZoneName
from almondspindle.core.placements import PlacementReason
from almondspindle.decisions.hashing import score

LOAD_MULTIPLE = (
    1.5  # of the mean load; 1.15, 1.5 and 3.0 were tried, see docs/internals/platform.md
)
LOAD_FLOOR = 3  # requests; small services would else spill at once
CAP_SHARE = 0.85  # of the operators' cap on a target's load: other hosts send at the same time
CAP_FLOOR = 2  # requests; the cap itself leaves three


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a request. `load` is in requests, from all hosts as far as known."""

    name: TargetName
    zone: ZoneName
    load: float
    slots: int
    is_healthy: bool
    within_cold_rate: bool  # False when a cold target has had its share of this second


@dataclass(frozen=True, slots=True)
class Choice:
    """The target chosen, and why."""

    candidate: Candidate
    reason: PlacementReason


def load_bound(candidates: Sequence[Candidate]) -> float:
    """Return the load at which a target is passed over for the next one in the order."""
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    return LOAD_MULTIPLE * mean + LOAD_FLOOR


def load_cap(loads: Sequence[float], cap_multiple: float) -> float:
    """Return the load that no target should exceed.

    `loads` are those of all targets of the service, also of those that receive no work, since
    operators compare with the mean of all.
    """
    return CAP_SHARE * cap_multiple * sum(loads) / len(loads) + CAP_FLOOR


def rank_targets(names: Iterable[TargetName], key: str) -> list[TargetName]:
    """Return `names` in the order in which requests with the prompt `key` try them."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def choose_target(
    candidates: Sequence[Candidate],
    order: Sequence[TargetName],
    zone: ZoneName,
    tie_break: str,
    cap: float,
) -> Choice | None:
    """Return the target for a request, or None if none may take it.

    `order` is that in which requests with the same prompt try the targets; it is empty where
    they share nothing. `zone` is preferred among targets of equal load, and `tie_break` decides
    between the rest. A target whose load is over `cap` is chosen only if all are.
    """
    open_ones = [c for c in candidates if c.within_cold_rate]
    usable = [c for c in open_ones if c.is_healthy]
    if not usable:
        return _least_loaded(open_ones, zone, tie_break, PlacementReason.LAST_RESORT)
    if not order:
        return _least_loaded(usable, zone, tie_break, PlacementReason.LEAST_LOADED)
    bound = min(cap, load_bound(usable))
    by_name = {candidate.name: candidate for candidate in usable}
    in_order = (by_name[name] for name in order if name in by_name)
    for place, candidate in enumerate(in_order):
        if candidate.load < min(bound, candidate.slots * 1.0):
            return Choice(candidate, PlacementReason.SPILL if place else PlacementReason.HOME)
    return _least_loaded(usable, zone, tie_break, PlacementReason.LEAST_LOADED)


def _least_loaded(
    candidates: Sequence[Candidate], zone: ZoneName, tie_break: str, reason: PlacementReason
) -> Choice | None:
    if not candidates:
        return None

    def rank(candidate: Candidate) -> tuple[float, bool, int]:
        relative = candidate.load / candidate.slots
        return relative, candidate.zone != zone, score(tie_break, candidate.name)

    return Choice(min(candidates, key=rank), reason)
