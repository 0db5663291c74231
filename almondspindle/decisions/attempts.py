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
MIN_ATTEMPT_S = 0.05  # an attempt with less time left can't end in time
READ_IDLE_OBJECTIVES = 2.0  # objectives without a byte after which a read goes elsewhere
STREAM_IDLE_OBJECTIVES = 4.0
UNREPEATABLE_IDLE_TIMEOUT_S = (
    3600.0  # for work that can't be repeated, so that silence changes nothing
)


class AttemptStep(StrEnum):
    """What to do after an attempt."""

    DELIVER = "deliver"  # pass the target's answer on, or end the one that was passed on
    RETRY = "again"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """The attempts so far: how many may have run the request, and how many were rejected."""

    may_have_run: int = 0
    rejected: int = 0


# Ends after which the target has certainly not run the request.
NOT_RUN_ENDS = frozenset({AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED, AttemptEnd.NOT_CONNECTED})
# Ends that a second run elsewhere may mend.
BROKEN_ENDS = frozenset({AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT})


def count_attempt(counts: AttemptCounts, report: AttemptReport) -> AttemptCounts:
    """Return the tries with one that ended with `report`."""
    if report.end in NOT_RUN_ENDS:
        return AttemptCounts(counts.may_have_run, counts.rejected + 1)
    return AttemptCounts(counts.may_have_run + 1, counts.rejected)


def next_step(
    route: Route, counts: AttemptCounts, report: AttemptReport, left_s: float
) -> AttemptStep:
    """Return what follows `report`; `tries` include that attempt, `left_s` is in seconds."""
    may_repeat = route.is_retryable and counts.may_have_run < route.attempts
    if left_s < MIN_ATTEMPT_S:
        may_repeat = False
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= MIN_SERVER_ERROR_STATUS
        return AttemptStep.RETRY if is_error and may_repeat else AttemptStep.DELIVER
    if report.end in NOT_RUN_ENDS:
        return AttemptStep.RETRY if counts.rejected <= MAX_REJECTIONS else AttemptStep.GIVE_UP
    return AttemptStep.RETRY if report.end in BROKEN_ENDS and may_repeat else AttemptStep.GIVE_UP


def refusal_after(counts: AttemptCounts, report: AttemptReport) -> Refusal:
    """Return the refusal for a request whose last attempt ended with `report`."""
    text = f"{report.end}: {report.detail}" if report.detail else str(report.end)
    if counts.may_have_run == 0:
        return Refusal(RefusalCode.FULL, text, RunState.NOT_RUN, RETRY_AFTER_S)
    return Refusal(RefusalCode.TARGET_UNREACHABLE, text, RunState.UNKNOWN)


def idle_timeouts(route: Route) -> IdleTimeouts:
    """Return how long a target may be silent before the request goes to another one."""
    if not route.is_retryable or route.attempts < 2:
        return IdleTimeouts(UNREPEATABLE_IDLE_TIMEOUT_S, UNREPEATABLE_IDLE_TIMEOUT_S)
    if route.work is WorkKind.READ:
        wait_s = READ_IDLE_OBJECTIVES * route.objective_s
        return IdleTimeouts(wait_s, wait_s)
    wait_s = STREAM_IDLE_OBJECTIVES * max(route.objective_s, route.gap_objective_s)
    return IdleTimeouts(wait_s, wait_s)
