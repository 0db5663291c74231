"""Whether a target is avoided."""

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.decisions.outlier_ejection import (
    MAX_EJECTION_S,
    EjectionState,
    after_attempt,
    is_in_rotation,
)


def test_a_refused_connection_makes_the_target_doubted_for_a_while():
    trust = after_attempt(EjectionState(), AttemptReport(AttemptEnd.NOT_CONNECTED), now=1.0)
    assert not is_in_rotation(trust, 1.1)
    assert is_in_rotation(trust, 1.0 + MAX_EJECTION_S)


def test_a_single_cut_does_not():
    trust = after_attempt(EjectionState(), AttemptReport(AttemptEnd.CONNECTION_BROKEN), now=1.0)
    assert is_in_rotation(trust, 1.0)
    assert not is_in_rotation(
        after_attempt(trust, AttemptReport(AttemptEnd.CONNECTION_BROKEN), 1.0), 1.1
    )


def test_an_answer_restores_trust_at_once():
    trust = after_attempt(EjectionState(), AttemptReport(AttemptEnd.NOT_CONNECTED), now=1.0)
    answered = AttemptReport(AttemptEnd.ANSWERED, status=200)
    assert is_in_rotation(after_attempt(trust, answered, now=1.1), 1.1)


def test_the_end_of_time_and_a_caller_that_leaves_say_nothing_of_the_target():
    for end in (AttemptEnd.TIMED_OUT, AttemptEnd.ABANDONED, AttemptEnd.REJECTED):
        assert after_attempt(EjectionState(), AttemptReport(end), now=1.0) == EjectionState()
