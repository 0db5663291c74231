"""Decide whether a request can finish before a host stops.

Soon after the stop signal, that is estimated from the durations of earlier requests. Any request
may take longer than usual, so later only its deadline counts: the caller of a request that is
refused as not run gets its response from another host, and that of a response that is cut does not.
"""

import math
from dataclasses import dataclass

from almondspindle.core.calls import WorkKind
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.routes import Route
from almondspindle.decisions.shutdown import StopSchedule

# The weights of a new value in the averages, as for the round-trip time of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 2.0  # above the mean; few requests take longer
UNMEASURED_OBJECTIVES = 4.0  # latency objectives that a request of an unmeasured route may take
RETRY_AFTER_S = 0.1  # another host can serve the request at once


@dataclass(frozen=True, slots=True)
class RouteDuration:
    """Moving averages of the durations of a route's requests, and of their deviations, in s."""

    mean_s: float
    deviation_s: float

    @property
    def usual_s(self) -> float:
        """Return the time within which nearly all requests finish, in seconds."""
        return self.mean_s + DEVIATIONS * self.deviation_s


def add_duration(known: RouteDuration | None, took_s: float) -> RouteDuration:
    """Return the averages after one more request, which took `took_s` seconds."""
    if known is None:
        return RouteDuration(took_s, took_s / 2)
    deviation_s = abs(took_s - known.mean_s)
    return RouteDuration(
        known.mean_s + MEAN_WEIGHT * (took_s - known.mean_s),
        known.deviation_s + DEVIATION_WEIGHT * (deviation_s - known.deviation_s),
    )


def check_time_left(
    route: Route,
    duration: RouteDuration | None,
    deadline_at: float,
    schedule: StopSchedule,
    now: float,
) -> Outcome[None]:
    """Return a refusal if a request that begins `now` may be unfinished when the host stops.

    `duration` is that of `route`, None if it is not measured. Times are in seconds on the monotonic
    clock.
    """
    end_at = deadline_at
    if now <= schedule.estimate_until:
        end_at = min(deadline_at, now + _usual_s(route, duration))
    answer_by = schedule.answer_by
    if now < answer_by and end_at <= answer_by:
        return Ok(None)
    return refused(
        RefusalCode.STOPPING,
        f"the host stops in {max(0.0, answer_by - now):.2f} s, the request may take"
        f" {max(0.0, end_at - now):.2f} s",
        retry_after_s=RETRY_AFTER_S,
    )


def _usual_s(route: Route, duration: RouteDuration | None) -> float:
    if duration is not None:
        return duration.usual_s
    if route.work is WorkKind.CHAT:
        return math.inf  # the objective is that of the first event
    return UNMEASURED_OBJECTIVES * route.objective_s
