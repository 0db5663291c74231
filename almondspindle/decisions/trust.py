"""Whether a target is to be avoided because of how its attempts have ended."""

from dataclasses import dataclass, replace

from almondspindle.core.placements import AttemptEnd, AttemptReport

FIRST_DOUBT_S = 0.4  # avoidance after a first failure; a new connection takes some ms
MAX_DOUBT_S = 3.0  # a target that came back is used again within this time
ERROR_WEIGHT = 0.15  # of the newest answer in the moving share of errors
ERROR_SHARE = 0.25  # a target with a larger share of errors is avoided
ERROR_ANSWERS = 4  # answers until the share counts
ERROR_DOUBT_S = 2.0
FIRST_SERVER_ERROR = 500
TIME_IS_UP = 504  # the target's word that the request's own time has passed

# How many failures an end counts for. A single connection may break without the target failing.
WEIGHTS = {
    AttemptEnd.ANSWERED: 0,
    AttemptEnd.REJECTED: 0,
    AttemptEnd.MISDIRECTED: 3,
    AttemptEnd.NOT_CONNECTED: 1,
    AttemptEnd.CUT: 1,
    AttemptEnd.SILENT: 2,
    AttemptEnd.TIMED_OUT: 0,
    AttemptEnd.ABANDONED: 0,
}


@dataclass(frozen=True, slots=True)
class Trust:
    """Failures in a row, the share of errors, and until when the target is avoided."""

    failures: int = 0
    error_share: float = 0.0
    answers: int = 0
    doubted_until: float = 0.0


def is_trusted(trust: Trust, now: float) -> bool:
    """Return whether the target may be used at `now`."""
    return now >= trust.doubted_until


def after_attempt(trust: Trust, report: AttemptReport, now: float) -> Trust:
    """Return the trust after an attempt."""
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= FIRST_SERVER_ERROR and report.status != TIME_IS_UP
        return _after_answer(trust, is_error, now)
    weight = WEIGHTS[report.end]
    if weight == 0:
        return trust
    failures = trust.failures + weight
    # A single cut is no reason to avoid the target: other connections to it may be sound.
    if failures < 2 and report.end is AttemptEnd.CUT:
        return replace(trust, failures=failures)
    doubt_s = min(MAX_DOUBT_S, FIRST_DOUBT_S * 2.0 ** (failures - 1))
    return replace(trust, failures=failures, doubted_until=max(trust.doubted_until, now + doubt_s))


def _after_answer(trust: Trust, is_error: bool, now: float) -> Trust:
    share = trust.error_share + ERROR_WEIGHT * (float(is_error) - trust.error_share)
    answers = trust.answers + 1
    if is_error and answers >= ERROR_ANSWERS and share > ERROR_SHARE:
        return Trust(0, ERROR_SHARE / 2, answers, now + ERROR_DOUBT_S)
    return Trust(0, share, answers, trust.doubted_until if is_error else 0.0)
