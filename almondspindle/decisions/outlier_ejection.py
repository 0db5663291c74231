"""Whether a target is to be avoided because of how the last attempts at it have ended."""

from dataclasses import dataclass, replace

from almondspindle.core.placements import AttemptEnd, AttemptReport

FIRST_DOUBT_S = 0.4  # avoidance after a first failure; a new connection takes some ms
MAX_DOUBT_S = 3.0  # a target that came back is used again within this time

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
    """Failures in a row, and until when the target is avoided."""

    failures: int = 0
    doubted_until: float = 0.0


def is_trusted(trust: Trust, now: float) -> bool:
    """Return whether the target may be used at `now`."""
    return now >= trust.doubted_until


def after_attempt(trust: Trust, report: AttemptReport, now: float) -> Trust:
    """Return the trust after an attempt."""
    if report.end is AttemptEnd.ANSWERED:
        return Trust()
    weight = WEIGHTS[report.end]
    if weight == 0:
        return trust
    failures = trust.failures + weight
    # A single cut is no reason to avoid the target: other connections to it may be sound.
    if failures < 2 and report.end is AttemptEnd.CUT:
        return replace(trust, failures=failures)
    doubt_s = min(MAX_DOUBT_S, FIRST_DOUBT_S * 2.0 ** (failures - 1))
    return replace(trust, failures=failures, doubted_until=max(trust.doubted_until, now + doubt_s))
