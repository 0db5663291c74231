"""The table of retry steps."""

import pytest

from almondspindle.core.calls import Finished, WorkKind
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.decisions.retry import STEPS, NextStep, Stage, next_step


def failed(started: bool, run_state: RunState) -> Finished:
    return Finished(started, Refusal(RefusalCode.PEER_UNREACHABLE, "x", run_state))


def test_every_kind_and_stage_has_a_step():
    assert set(STEPS) == {(work, stage) for work in WorkKind for stage in Stage}


def test_a_commit_that_may_have_been_sent_is_never_sent_again():
    assert next_step(WorkKind.COMMIT, failed(False, RunState.UNKNOWN)) is NextStep.GIVE_UP
    assert next_step(WorkKind.COMMIT, failed(True, RunState.UNKNOWN)) is NextStep.GIVE_UP


@pytest.mark.parametrize("work", list(WorkKind))
def test_work_that_was_not_sent_goes_to_the_next_candidate(work):
    assert next_step(work, failed(False, RunState.NOT_RUN)) is NextStep.NEXT_CANDIDATE
