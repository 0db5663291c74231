"""How teams and kinds of work share the capacity of a target that is near its limit."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import TeamName

CONTENTION_THRESHOLD = 0.75  # share of the bound below which teams are not limited to their shares
DEMAND_TTL_S = 5.0  # time for which a team counts as active after a request

# Share of the bound that each kind of work leaves free for priority work while that is in demand.
RESERVED_SHARE: dict[WorkKind, float] = {
    WorkKind.CHAT: 0.1,
    WorkKind.READ: 0.0,
    WorkKind.COMMIT: 0.0,
}
PRIORITY_WORK = frozenset({WorkKind.READ, WorkKind.COMMIT})


@dataclass(frozen=True, slots=True)
class Demand:
    """The teams' requests in flight at a target and the times of their last requests.

    Times are in seconds on the monotonic clock.
    """

    in_flight: Mapping[TeamName, int]
    requested_at: Mapping[TeamName, float]
    priority_requested_at: float | None = None


def active_teams(demand: Demand, now: float) -> set[TeamName]:
    """Return the teams that have requests in flight or sent one recently."""
    requesting = {team for team, at in demand.requested_at.items() if now - at < DEMAND_TTL_S}
    return requesting | {team for team, count in demand.in_flight.items() if count > 0}


def team_share(
    team: TeamName, bound: int, weights: Mapping[TeamName, float], demand: Demand, now: float
) -> int:
    """Return the team's weighted share of `bound` requests among the active teams, rounded up."""
    active = active_teams(demand, now) | {team}
    total = sum(weights.get(name, 1.0) for name in active)
    return math.ceil(bound * weights.get(team, 1.0) / total)


def is_within_share(
    team: TeamName,
    work: WorkKind,
    bound: int,
    weights: Mapping[TeamName, float],
    demand: Demand,
    now: float,
) -> bool:
    """Return whether the team may have one more of the target's `bound` requests in flight."""
    used = sum(demand.in_flight.values())
    if used >= bound - _reserved(work, bound, demand, now):
        return False
    if used < CONTENTION_THRESHOLD * bound:
        return True
    return demand.in_flight.get(team, 0) < team_share(team, bound, weights, demand, now)


def _reserved(work: WorkKind, bound: int, demand: Demand, now: float) -> int:
    if demand.priority_requested_at is None or now - demand.priority_requested_at >= DEMAND_TTL_S:
        return 0
    return min(math.ceil(RESERVED_SHARE[work] * bound), bound - 1)
