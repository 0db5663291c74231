"""Decide what follows an attempt at a target."""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import WorkKind
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.routes import Route
from almondspindle.decisions.error_rate import MIN_SERVER_ERROR_STATUS
from almondspindle.decisions.idle_timeout import IdleTimeouts

MAX_REJECTIONS = 3  # retries after rejections; a fifth target is as likely to be full as the first
RETRY_AFTER_S = 0.3
MIN_ATTEMPT_S = 0.05  # with less time left an attempt can't finish before the deadline
READ_IDLE_OBJECTIVES = 2.0  # latency objectives without a byte after which a read is retried
# The same for a stream, in terms of its larger objective, after which it is avoided by others.
STREAM_IDLE_OBJECTIVES = 4.0
# Callers abandon a stream after the longest of these times without an event.
CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_OBJECTIVES = 4.0
CALLER_PATIENCE_GAPS = 8.0
# The share of that time after which a stream leaves its target. The rest is for the next one.
STREAM_LEAVE_SHARE = 0.75
MIN_IDLE_TIMEOUT_S = 0.1  # for routes without an objective
MIN_REPEAT_S = 0.1  # a shorter wait after the first time-out isn't worth it
# Longer than usual deadlines: an idle time-out gains nothing for work that must not be retried.
UNRETRYABLE_IDLE_TIMEOUT_S = 3600.0


class AttemptStep(StrEnum):
    """What to do after an attempt at a target."""

    DELIVER = "deliver"  # forward the target's response, or complete the one begun
    RETRY = "again"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class RequestAttempts:
    """How many attempts of a request may have run it, and how many certainly have not.

    `rejected` counts the latter, including those that did not get a connection.
    """

    may_have_run: int = 0
    rejected: int = 0


# Ends after which the target has certainly not run the request.
NOT_RUN_ENDS = frozenset(
    {
        AttemptEnd.REJECTED,
        AttemptEnd.MISDIRECTED,
        AttemptEnd.NOT_CONNECTED,
        AttemptEnd.UNSENDABLE,
    }
)
# Ends after which nothing has reached the target, so that another attempt is no repeat.
NOT_SENT_ENDS = frozenset({AttemptEnd.NOT_CONNECTED, AttemptEnd.UNSENDABLE})
# Ends after which a retry on another target may succeed.
BROKEN_ENDS = frozenset({AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT})


def add_attempt(attempts: RequestAttempts, report: AttemptReport) -> RequestAttempts:
    """Return `attempts` with the attempt of `report` added."""
    if report.end in NOT_RUN_ENDS:
        return RequestAttempts(attempts.may_have_run, attempts.rejected + 1)
    return RequestAttempts(attempts.may_have_run + 1, attempts.rejected)


def next_step(
    route: Route, attempts: RequestAttempts, report: AttemptReport, left_s: float
) -> AttemptStep:
    """Return the step after the attempt of `report`.

    `attempts` includes that attempt; `left_s` is the time to the deadline in seconds.
    """
    may_retry = _has_attempt_left(route, attempts) and left_s >= MIN_ATTEMPT_S
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= MIN_SERVER_ERROR_STATUS
        return AttemptStep.RETRY if is_error and may_retry else AttemptStep.DELIVER
    if report.end in NOT_RUN_ENDS:
        return AttemptStep.RETRY if attempts.rejected <= MAX_REJECTIONS else AttemptStep.GIVE_UP
    return AttemptStep.RETRY if report.end in BROKEN_ENDS and may_retry else AttemptStep.GIVE_UP


def _has_attempt_left(route: Route, attempts: RequestAttempts) -> bool:
    return route.is_retryable and attempts.may_have_run < route.attempts


def is_silence_over(route: Route, silences: int) -> bool:
    """Return whether a target is silent for longer than a sound one.

    `silences` is the number of idle time-outs (`idle_timeouts`) since its last byte. A sound target
    may be silent for a second or so, and works on meanwhile.
    """
    return silences > 1 or idle_timeouts(route).repeat_s is None


def may_leave_target(route: Route, attempts: RequestAttempts, left_s: float) -> bool:
    """Return whether a request may leave its silent target for another one.

    A sound target may be silent for a moment, so the last attempt that is allowed isn't left.
    `attempts` excludes the attempt in progress; `left_s` is the time to the deadline in seconds.
    """
    with_current = RequestAttempts(attempts.may_have_run + 1, attempts.rejected)
    return _has_attempt_left(route, with_current) and left_s >= MIN_ATTEMPT_S


def may_return(route: Route, report: AttemptReport, left_s: float) -> bool:
    """Return whether a request may go back to a silent target that it has left.

    The target counts as one attempt with its earlier one, so this holds also after the last attempt
    that is allowed. `report` is that of the last attempt, and `left_s` the time to the deadline in
    seconds.
    """
    has_failed = report.end in BROKEN_ENDS or report.end in NOT_RUN_ENDS
    return route.is_retryable and has_failed and left_s >= MIN_ATTEMPT_S


def keeps_answer(had_answer: bool, report: AttemptReport) -> bool:
    """Return whether a complete response is in hand after the attempt of `report`.

    `had_answer` tells whether there was one before. A later response replaces it.
    """
    return report.end is AttemptEnd.ANSWERED or (had_answer and report.end in NOT_RUN_ENDS)


def refusal_after(
    attempts: RequestAttempts, report: AttemptReport, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal for a request whose last attempt ended with `report`.

    `retry_after_s` is when a target may be available, in seconds, None if that is unknown.
    """
    text = f"{report.end}: {report.detail}" if report.detail else str(report.end)
    if attempts.may_have_run == 0:
        return Refusal(RefusalCode.FULL, text, RunState.NOT_RUN, retry_after_s or RETRY_AFTER_S)
    return Refusal(RefusalCode.TARGET_UNREACHABLE, text, RunState.UNKNOWN)


def idle_timeouts(route: Route) -> IdleTimeouts:
    """Return how long a target may send nothing before it counts as silent.

    A read leaves it for another target then, if it may. A stream does after `repeat_s` more.
    """
    if not route.is_retryable or route.attempts < 2:
        return IdleTimeouts(UNRETRYABLE_IDLE_TIMEOUT_S, UNRETRYABLE_IDLE_TIMEOUT_S)
    if route.work is WorkKind.READ:
        timeout_s = READ_IDLE_OBJECTIVES * route.objective_s
    else:
        timeout_s = STREAM_IDLE_OBJECTIVES * max(route.objective_s, route.gap_objective_s)
    timeout_s = max(MIN_IDLE_TIMEOUT_S, timeout_s)
    repeat_s = _stream_leave_s(route) - timeout_s
    if route.work is WorkKind.READ or repeat_s < MIN_REPEAT_S:
        return IdleTimeouts(timeout_s, timeout_s)
    return IdleTimeouts(timeout_s, timeout_s, repeat_s)


def _stream_leave_s(route: Route) -> float:
    patience_s = max(
        CALLER_PATIENCE_S,
        CALLER_PATIENCE_OBJECTIVES * route.objective_s,
        CALLER_PATIENCE_GAPS * route.gap_objective_s,
    )
    return STREAM_LEAVE_SHARE * patience_s
