"""The steps after a failed attempt, the rounds, the retry budget and the jitter."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.decisions.jitter import full_jitter, jittered_interval
from almondspindle.decisions.retry import (
    MAX_ROUNDS,
    STEP_BY_STAGE,
    NextStep,
    Stage,
    next_step,
    should_start_round,
)
from almondspindle.decisions.retry_budget import MAX_BALANCE, RetryBudget, add_request, spend_retry


def failed(started: bool, run_state: RunState) -> Completion:
    return Completion(started, Refusal(RefusalCode.PEER_UNREACHABLE, "x", run_state))


def test_every_kind_and_stage_has_a_step():
    assert set(STEP_BY_STAGE) == {(work, stage) for work in WorkKind for stage in Stage}


def test_a_commit_that_may_have_been_sent_is_never_sent_again():
    assert next_step(WorkKind.COMMIT, failed(False, RunState.UNKNOWN)) is NextStep.GIVE_UP
    assert next_step(WorkKind.COMMIT, failed(True, RunState.UNKNOWN)) is NextStep.GIVE_UP


@pytest.mark.parametrize("work", list(WorkKind))
def test_work_that_was_not_sent_goes_to_the_next_candidate_outside_the_budget(work):
    assert next_step(work, failed(False, RunState.NOT_RUN)) is NextStep.REDIRECT


@pytest.mark.parametrize("work", [WorkKind.CHAT, WorkKind.READ])
def test_work_that_may_have_been_sent_is_retried_within_the_budget(work):
    assert next_step(work, failed(False, RunState.UNKNOWN)) is NextStep.RETRY
    assert next_step(work, failed(True, RunState.UNKNOWN)) is NextStep.GIVE_UP


@pytest.mark.parametrize(
    ("codes", "rounds", "again"),
    [
        ({RefusalCode.STARTING}, 1, True),
        ({RefusalCode.NOT_OWNER, RefusalCode.FULL}, MAX_ROUNDS - 1, True),
        ({RefusalCode.NOT_OWNER}, MAX_ROUNDS, False),
        ({RefusalCode.FULL, RefusalCode.LEAVING, RefusalCode.ZONE_OUT}, 1, False),
    ],
)
def test_only_transient_refusals_start_another_round(codes, rounds, again):
    assert should_start_round(codes, rounds) is again


@settings(derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 0.2)), max_size=300))
def test_retries_stay_within_the_share_of_requests_and_the_least_rate(steps):
    budget, now, requests, retries = RetryBudget(0.0), 0.0, 0, 0
    for is_retry, gap_s in steps:
        now += gap_s
        spent = spend_retry(budget, now) if is_retry else add_request(budget, 0.1, now)
        retries += is_retry and spent is not None
        requests += not is_retry
        budget = spent or budget
        assert retries <= 3 + 0.1 * requests + 0.5 * now + 1e-6
        assert 0 <= budget.balance <= MAX_BALANCE


def test_full_jitter_lies_between_zero_and_a_doubling_bound():
    assert [full_jitter(n, 0.1, 0.5, 1.0) for n in (1, 2, 3, 4)] == [0.1, 0.2, 0.4, 0.5]
    assert full_jitter(3, 0.1, 0.5, 0.0) == 0.0
    assert (jittered_interval(5.0, 0.0), jittered_interval(5.0, 1.0)) == (4.0, 6.0)
