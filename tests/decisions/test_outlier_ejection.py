"""Ejection of targets after failed attempts."""

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.decisions.outlier_ejection import (
    MAX_EJECTION_S,
    EjectionState,
    after_attempt,
    is_in_rotation,
)


def test_a_refused_connection_ejects_the_target_for_a_while():
    state = after_attempt(EjectionState(), AttemptReport(AttemptEnd.NOT_CONNECTED), now=1.0)
    assert not is_in_rotation(state, 1.1)
    assert is_in_rotation(state, 1.0 + MAX_EJECTION_S)


def test_a_single_broken_connection_does_not_eject_the_target():
    state = after_attempt(EjectionState(), AttemptReport(AttemptEnd.CONNECTION_BROKEN), now=1.0)
    assert is_in_rotation(state, 1.0)
    assert not is_in_rotation(
        after_attempt(state, AttemptReport(AttemptEnd.CONNECTION_BROKEN), 1.0), 1.1
    )


def test_a_response_reinstates_the_target_at_once():
    state = after_attempt(EjectionState(), AttemptReport(AttemptEnd.NOT_CONNECTED), now=1.0)
    answered = AttemptReport(AttemptEnd.ANSWERED, status=200)
    assert is_in_rotation(after_attempt(state, answered, now=1.1), 1.1)


def test_exceeded_deadlines_and_disconnected_callers_do_not_eject_the_target():
    for end in (AttemptEnd.TIMED_OUT, AttemptEnd.ABANDONED, AttemptEnd.REJECTED):
        assert after_attempt(EjectionState(), AttemptReport(end), now=1.0) == EjectionState()
