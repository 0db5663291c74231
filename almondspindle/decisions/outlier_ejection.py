"""Eject a target for a while after consecutive failures of attempts at it."""

from dataclasses import dataclass, replace

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.decisions.jitter import doubled

BASE_EJECTION_S = 0.4  # after the first failure; a new connection takes a few ms
MAX_EJECTION_S = 3.0  # a target that recovered is used again within this time

# How many failures each end counts for. A connection may break while the target is healthy.
FAILURE_WEIGHTS = {
    AttemptEnd.ANSWERED: 0,
    AttemptEnd.REJECTED: 0,
    AttemptEnd.MISDIRECTED: 3,
    AttemptEnd.NOT_CONNECTED: 1,
    AttemptEnd.UNSENDABLE: 0,
    AttemptEnd.CONNECTION_BROKEN: 1,
    AttemptEnd.IDLE_TIMEOUT: 2,
    AttemptEnd.TIMED_OUT: 0,
    AttemptEnd.ABANDONED: 0,
}


@dataclass(frozen=True, slots=True)
class EjectionState:
    """The weighted number of consecutive failures, and until when the target is ejected."""

    failures: int = 0
    ejected_until: float = 0.0


def is_in_rotation(state: EjectionState, now: float) -> bool:
    """Return whether the target is not ejected at `now`."""
    return now >= state.ejected_until


def after_attempt(state: EjectionState, report: AttemptReport, now: float) -> EjectionState:
    """Return the state after an attempt. A complete response reinstates the target."""
    if report.end is AttemptEnd.ANSWERED:
        return EjectionState()
    weight = FAILURE_WEIGHTS[report.end]
    if weight == 0:
        return state
    failures = state.failures + weight
    # A single broken connection does not eject the target: other connections to it may work.
    if failures < 2 and report.end is AttemptEnd.CONNECTION_BROKEN:
        return replace(state, failures=failures)
    ejection_s = doubled(BASE_EJECTION_S, failures - 1, MAX_EJECTION_S)
    return replace(
        state, failures=failures, ejected_until=max(state.ejected_until, now + ejection_s)
    )
