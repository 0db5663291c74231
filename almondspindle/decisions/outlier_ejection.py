"""Whether a target is to be avoided because of how the last attempts at it have ended."""

from dataclasses import dataclass, replace

from almondspindle.core.placements import AttemptEnd, AttemptReport

BASE_EJECTION_S = 0.4  # avoidance after a first failure; a new connection takes some ms
MAX_EJECTION_S = 3.0  # a target that came back is used again within this time

# How many failures an end counts for. A single connection may break without the target failing.
FAILURE_WEIGHTS = {
    AttemptEnd.ANSWERED: 0,
    AttemptEnd.REJECTED: 0,
    AttemptEnd.MISDIRECTED: 3,
    AttemptEnd.NOT_CONNECTED: 1,
    AttemptEnd.CONNECTION_BROKEN: 1,
    AttemptEnd.IDLE_TIMEOUT: 2,
    AttemptEnd.TIMED_OUT: 0,
    AttemptEnd.ABANDONED: 0,
}


@dataclass(frozen=True, slots=True)
class EjectionState:
    """Failures in a row, and until when the target is avoided."""

    failures: int = 0
    ejected_until: float = 0.0


def is_in_rotation(state: EjectionState, now: float) -> bool:
    """Return whether the target may be used at `now`."""
    return now >= state.ejected_until


def after_attempt(state: EjectionState, report: AttemptReport, now: float) -> EjectionState:
    """Return the trust after an attempt."""
    if report.end is AttemptEnd.ANSWERED:
        return EjectionState()
    weight = FAILURE_WEIGHTS[report.end]
    if weight == 0:
        return state
    failures = state.failures + weight
    # A single cut is no reason to avoid the target: other connections to it may be sound.
    if failures < 2 and report.end is AttemptEnd.CONNECTION_BROKEN:
        return replace(state, failures=failures)
    doubt_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0 ** (failures - 1))
    return replace(state, failures=failures, ejected_until=max(state.ejected_until, now + doubt_s))
