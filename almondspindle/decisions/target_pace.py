"""The pace of a target that has started or recovered, found from its responses.

The load that this answers: a target without prompts in its memory that gets its full part at once,
from hosts that each see few of its responses. The limit holds for the requests of all hosts, and
follows from the sums of what they observe.

Sources: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988; D. Chiu and R. Jain,
"Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks",
Computer Networks and ISDN Systems 17 (1989).
"""

import math
from dataclasses import dataclass, replace
from enum import StrEnum

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.decisions.error_rate import FAILED_ENDS, MIN_SERVER_ERROR_STATUS

START_SHARE = 0.25  # of the target's slots
MIN_LIMIT = 2.0  # requests; with one, a slow response would stop the growth
MAX_LATE_SHARE = 0.2
MIN_JUDGED = 3  # responses; fewer may be late by chance
DECREASE = 0.5
DECREASE_INTERVAL_S = 0.5  # other hosts' counts are about that old
MAX_PACE_S = 30.0
LATE_ENDS = FAILED_ENDS | {AttemptEnd.REJECTED, AttemptEnd.TIMED_OUT}


class PaceCause(StrEnum):
    """Why a target is paced."""

    STARTED = "started"
    RESTARTED = "restarted"
    RECOVERED = "recovered"  # its rate of errors fell
    ZONE_BACK = "zone back"


@dataclass(frozen=True, slots=True)
class Pace:
    """The limit on a target's requests in flight, from all hosts.

    `threshold` is the limit above which growth is slow, infinite before the first decrease.
    `judged` and `late` count the responses since the last decision. Times are in seconds on the
    monotonic clock.
    """

    cause: PaceCause
    limit: float
    slots: int
    began_at: float
    threshold: float = math.inf
    judged: int = 0
    late: int = 0
    decreased_at: float = -math.inf


def begin_pace(cause: PaceCause, slots: int, now: float) -> Pace:
    """Return the pace of a target that begins now."""
    return Pace(cause, max(MIN_LIMIT, START_SHARE * slots), slots, now)


def is_late(report: AttemptReport, objective_s: float) -> bool | None:
    """Return whether the attempt took too long or failed, None if its end doesn't say.

    `objective_s` is the latency objective of its route, 0 if it has none.
    """
    if report.end in LATE_ENDS:
        return True
    if report.end is not AttemptEnd.ANSWERED:
        return None
    if report.status >= MIN_SERVER_ERROR_STATUS:
        return True
    return bool(objective_s) and (report.first_byte_s or 0.0) > objective_s


def after_responses(pace: Pace, responses: int, late: int, now: float) -> Pace:
    """Return the pace after `responses` more of all hosts, of which `late` were late."""
    judged, late = pace.judged + responses, pace.late + late
    if judged >= MIN_JUDGED and late > MAX_LATE_SHARE * judged:
        if now - pace.decreased_at < DECREASE_INTERVAL_S:
            return replace(pace, judged=judged, late=late)
        limit = max(MIN_LIMIT, DECREASE * pace.limit)
        return replace(pace, limit=limit, threshold=limit, judged=0, late=0, decreased_at=now)
    in_time = max(0, responses - (late - pace.late))
    growth = in_time if pace.limit < pace.threshold else in_time / pace.limit
    return replace(
        pace,
        limit=pace.limit + growth,
        judged=0 if judged >= MIN_JUDGED else judged,
        late=0 if judged >= MIN_JUDGED else late,
    )


def is_pace_over(pace: Pace, now: float) -> bool:
    """Return whether the target may get its full part."""
    return pace.limit >= pace.slots or now - pace.began_at >= MAX_PACE_S
