"""Detection of targets that fail a share of their requests."""

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.reports import AttemptCounts
from almondspindle.decisions.error_rate import (
    WINDOW_S,
    AttemptLog,
    count_attempts,
    is_error_rate_high,
    record_attempt,
)

GOOD = AttemptReport(AttemptEnd.ANSWERED, status=200)
ERROR = AttemptReport(AttemptEnd.ANSWERED, status=500)
LATE = AttemptReport(AttemptEnd.ANSWERED, status=504)
CUT = AttemptReport(AttemptEnd.CONNECTION_BROKEN)


def tally_of(*reports: AttemptReport, now: float = 1.0) -> AttemptCounts:
    log = AttemptLog()
    for report in reports:
        record_attempt(log, report, 1.0)
    return count_attempts(log, now)


def test_errors_and_broken_answers_count_and_a_requests_own_time_does_not():
    assert tally_of(GOOD, ERROR, CUT, LATE) == AttemptCounts(attempts=4, errors=2)


def test_ends_that_say_nothing_of_the_target_are_left_out():
    for end in (AttemptEnd.ABANDONED, AttemptEnd.TIMED_OUT, AttemptEnd.REJECTED):
        assert tally_of(AttemptReport(end)) == AttemptCounts(0, 0)


def test_old_attempts_are_forgotten():
    assert tally_of(ERROR, ERROR, now=1.0 + WINDOW_S) == AttemptCounts(0, 0)


def test_hosts_find_together_what_none_finds_alone():
    each = tally_of(GOOD, GOOD, ERROR)
    assert not is_error_rate_high([each])
    assert is_error_rate_high([each] * 4)


def test_a_few_errors_among_many_answers_are_no_failing():
    assert not is_error_rate_high([AttemptCounts(attempts=100, errors=5)])
