"""What follows an attempt at a target."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import WorkKind
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.routes import Route
from almondspindle.decisions.error_rate import MIN_SERVER_ERROR_STATUS
from almondspindle.decisions.idle_timeout import IdleTimeouts

MAX_REJECTIONS = 3  # a fourth target is as likely to be full as the three before
RETRY_AFTER_S = 0.3
LEAST_USEFUL_S = 0.05  # an attempt with less time left can't end in time
READ_SILENCE_OBJECTIVES = 2.0  # objectives without a byte after which a read goes elsewhere
STREAM_SILENCE_OBJECTIVES = 4.0
PATIENT_S = 3600.0  # for work that can't be repeated, so that silence changes nothing


class Step(StrEnum):
    """What to do after an attempt."""

    DELIVER = "deliver"  # pass the target's answer on, or end the one that was passed on
    AGAIN = "again"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Tries:
    """The attempts so far: how many may have run the request, and how many were rejected."""

    may_have_run: int = 0
    rejected: int = 0


# Ends after which the target has certainly not run the request.
NOT_RUN = frozenset({AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED, AttemptEnd.NOT_CONNECTED})
# Ends that a second run elsewhere may mend.
BROKEN = frozenset({AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT})


def after(tries: Tries, report: AttemptReport) -> Tries:
    """Return the tries with one that ended with `report`."""
    if report.end in NOT_RUN:
        return Tries(tries.may_have_run, tries.rejected + 1)
    return Tries(tries.may_have_run + 1, tries.rejected)


def next_step(route: Route, tries: Tries, report: AttemptReport, left_s: float) -> Step:
    """Return what follows `report`; `tries` include that attempt, `left_s` is in seconds."""
    may_repeat = route.is_retryable and tries.may_have_run < route.attempts
    if left_s < LEAST_USEFUL_S:
        may_repeat = False
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= MIN_SERVER_ERROR_STATUS
        return Step.AGAIN if is_error and may_repeat else Step.DELIVER
    if report.end in NOT_RUN:
        return Step.AGAIN if tries.rejected <= MAX_REJECTIONS else Step.GIVE_UP
    return Step.AGAIN if report.end in BROKEN and may_repeat else Step.GIVE_UP


def refusal_after(tries: Tries, report: AttemptReport) -> Refusal:
    """Return the refusal for a request whose last attempt ended with `report`."""
    text = f"{report.end}: {report.detail}" if report.detail else str(report.end)
    if tries.may_have_run == 0:
        return Refusal(RefusalCode.FULL, text, RunState.NOT_RUN, RETRY_AFTER_S)
    return Refusal(RefusalCode.TARGET_UNREACHABLE, text, RunState.UNKNOWN)


def silence_bounds(route: Route) -> IdleTimeouts:
    """Return how long a target may be silent before the request goes to another one."""
    if not route.is_retryable or route.attempts < 2:
        return IdleTimeouts(PATIENT_S, PATIENT_S)
    if route.work is WorkKind.READ:
        wait_s = READ_SILENCE_OBJECTIVES * route.objective_s
        return IdleTimeouts(wait_s, wait_s)
    wait_s = STREAM_SILENCE_OBJECTIVES * max(route.objective_s, route.gap_objective_s)
    return IdleTimeouts(wait_s, wait_s)
