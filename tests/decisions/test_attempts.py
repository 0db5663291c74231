"""What follows an attempt at a target."""

import pytest

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName
from almondspindle.core.outcomes import RunState
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.routes import Route, ServiceShare
from almondspindle.decisions.attempts import (
    MAX_REJECTIONS,
    UNREPEATABLE_IDLE_TIMEOUT_S,
    AttemptCounts,
    AttemptStep,
    count_attempt,
    idle_timeouts,
    next_step,
    refusal_after,
)


def route(work: WorkKind, attempts: int = 2, is_resumable: bool = False) -> Route:
    shares = (ServiceShare(ServiceName("s")),)
    return Route(
        "r", "h", "/p/", work, shares, 10.0, 0.3, attempts=attempts, is_resumable=is_resumable
    )


COMMIT = route(WorkKind.COMMIT)
READ = route(WorkKind.READ)
STREAM = route(WorkKind.CHAT)
RESUMABLE = route(WorkKind.CHAT, is_resumable=True)


def step_after(
    found: Route, end: AttemptEnd, tries: AttemptCounts = AttemptCounts(), status: int = 0
) -> AttemptStep:
    report = AttemptReport(end, status=status)
    return next_step(found, count_attempt(tries, report), report, left_s=5.0)


@pytest.mark.parametrize("end", [AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT])
@pytest.mark.parametrize("found", [COMMIT, STREAM])
def test_work_that_may_have_run_and_must_not_repeat_is_given_up(found, end):
    assert step_after(found, end) is AttemptStep.GIVE_UP


@pytest.mark.parametrize("end", [AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT])
@pytest.mark.parametrize("found", [READ, RESUMABLE])
def test_repeatable_work_goes_elsewhere_within_its_attempts(found, end):
    assert step_after(found, end) is AttemptStep.RETRY
    assert step_after(found, end, AttemptCounts(may_have_run=1)) is AttemptStep.GIVE_UP


@pytest.mark.parametrize("end", [AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED])
@pytest.mark.parametrize("found", [COMMIT, STREAM, READ])
def test_work_that_was_not_run_goes_elsewhere_until_enough_have_rejected_it(found, end):
    assert step_after(found, end) is AttemptStep.RETRY
    assert step_after(found, end, AttemptCounts(rejected=MAX_REJECTIONS)) is AttemptStep.GIVE_UP


def test_a_targets_error_is_passed_on_unless_the_work_may_repeat():
    assert step_after(COMMIT, AttemptEnd.ANSWERED, status=500) is AttemptStep.DELIVER
    assert step_after(READ, AttemptEnd.ANSWERED, status=500) is AttemptStep.RETRY
    assert (
        step_after(READ, AttemptEnd.ANSWERED, AttemptCounts(may_have_run=1), 500)
        is AttemptStep.DELIVER
    )
    assert step_after(READ, AttemptEnd.ANSWERED, status=404) is AttemptStep.DELIVER


def test_nothing_is_repeated_when_the_time_is_up():
    report = AttemptReport(AttemptEnd.CONNECTION_BROKEN)
    assert (
        next_step(READ, count_attempt(AttemptCounts(), report), report, left_s=0.0)
        is AttemptStep.GIVE_UP
    )


def test_only_work_that_no_target_may_have_run_is_refused_as_not_run():
    rejected = AttemptReport(AttemptEnd.REJECTED)
    assert (
        refusal_after(count_attempt(AttemptCounts(), rejected), rejected).run_state
        is RunState.NOT_RUN
    )
    cut_before = count_attempt(
        count_attempt(AttemptCounts(), AttemptReport(AttemptEnd.CONNECTION_BROKEN)), rejected
    )
    assert refusal_after(cut_before, rejected).run_state is RunState.UNKNOWN


def test_silence_ends_no_attempt_that_can_not_be_repeated():
    assert idle_timeouts(COMMIT).first_byte_s == UNREPEATABLE_IDLE_TIMEOUT_S
    assert idle_timeouts(STREAM).between_bytes_s == UNREPEATABLE_IDLE_TIMEOUT_S
    assert idle_timeouts(READ).first_byte_s < 1.0
