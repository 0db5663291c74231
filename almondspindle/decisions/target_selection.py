"""Select the target for a request.

Requests that share a part of their prompt rank the targets in the same order, by rendezvous
hashing. So only a few targets have to process the shared part. The load is bounded: a target near
its limit is skipped and the next one in the order is used.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from almondspindle.core.identifiers import TargetName, ZoneName
from almondspindle.core.placements import PlacementReason
from almondspindle.decisions.hashing import score

# Multiple of the mean load. docs/internals/platform.md compares 1.15, 1.5 and 3.0.
LOAD_MULTIPLE = 1.5
LOAD_FLOOR = 3  # requests; without it, small services would spill at once
CAP_SHARE = 0.85  # share of the operators' load cap; other hosts send requests at the same time
CAP_FLOOR = 2  # requests; the cap itself allows three


@dataclass(frozen=True, slots=True)
class TargetCandidate:
    """A target that may get a request. `load` is its number of requests from all known hosts."""

    name: TargetName
    zone: ZoneName
    load: float
    slots: int
    is_healthy: bool
    within_cold_rate: bool  # False if a cold target has used up its requests for this second
    within_pace: bool = True  # False if the target has started or recovered, and is at its limit


@dataclass(frozen=True, slots=True)
class Choice:
    """The selected target and the reason for its selection."""

    candidate: TargetCandidate
    reason: PlacementReason


def load_bound(candidates: Sequence[TargetCandidate]) -> float:
    """Return the load at or above which a target is skipped for the next one in the order."""
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    return LOAD_MULTIPLE * mean + LOAD_FLOOR


def load_cap(loads: Sequence[float], cap_multiple: float) -> float:
    """Return the load that no target should exceed.

    `loads` must include all targets of the service, even those that receive no requests, because
    the operators' cap is a multiple of the mean over all targets.
    """
    return CAP_SHARE * cap_multiple * sum(loads) / len(loads) + CAP_FLOOR


def rank_targets(names: Iterable[TargetName], key: str) -> list[TargetName]:
    """Return `names` in the order of preference for requests with the prompt `key`."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def choose_target(
    candidates: Sequence[TargetCandidate],
    order: Sequence[TargetName],
    zone: ZoneName,
    tie_break: str,
    cap: float,
) -> Choice | None:
    """Return the target for a request, or None if no target may take it.

    `order` is the order of preference for the request's prompt, empty if the prompt is not
    shared. The first healthy target in it is selected whose load is below `cap`, the load bound
    and its slots. If there is none, the target with the lowest load per slot is selected, even if
    its load is over `cap`. Among equals, those in `zone` are preferred, and then the hash of
    `tie_break` decides. Unhealthy targets are used only if no healthy one may take the request, and
    those at their pace only if no other healthy one may, or if they are first in `order`: elsewhere
    the prompt would have to be read for a few requests.
    """
    admitting = [c for c in candidates if c.within_cold_rate]
    healthy = [c for c in admitting if c.is_healthy]
    if not healthy:
        return _least_loaded(admitting, zone, tie_break, PlacementReason.LAST_RESORT)
    paced = [c for c in healthy if c.within_pace] or healthy
    if not order:
        return _least_loaded(paced, zone, tie_break, PlacementReason.LEAST_LOADED)
    bound = min(cap, load_bound(healthy))
    by_name = {candidate.name: candidate for candidate in healthy}
    ordered = (by_name[name] for name in order if name in by_name)
    for position, candidate in enumerate(ordered):
        is_paced = position > 0 and not candidate.within_pace
        if candidate.load < min(bound, candidate.slots * 1.0) and not is_paced:
            return Choice(candidate, PlacementReason.SPILL if position else PlacementReason.HOME)
    return _least_loaded(paced, zone, tie_break, PlacementReason.LEAST_LOADED)


def _least_loaded(
    candidates: Sequence[TargetCandidate], zone: ZoneName, tie_break: str, reason: PlacementReason
) -> Choice | None:
    if not candidates:
        return None

    def rank(candidate: TargetCandidate) -> tuple[float, bool, int]:
        relative_load = candidate.load / candidate.slots
        return relative_load, candidate.zone != zone, score(tie_break, candidate.name)

    return Choice(min(candidates, key=rank), reason)
