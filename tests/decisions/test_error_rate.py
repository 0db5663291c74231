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

SUCCESS = AttemptReport(AttemptEnd.ANSWERED, status=200)
ERROR = AttemptReport(AttemptEnd.ANSWERED, status=500)
DEADLINE_EXCEEDED = AttemptReport(AttemptEnd.ANSWERED, status=504)
BROKEN = AttemptReport(AttemptEnd.CONNECTION_BROKEN)


def counts_of(*reports: AttemptReport, now: float = 1.0) -> AttemptCounts:
    log = AttemptLog()
    for report in reports:
        record_attempt(log, report, 1.0)
    return count_attempts(log, now)


def test_server_errors_and_broken_connections_count_as_errors_but_deadlines_do_not():
    assert counts_of(SUCCESS, ERROR, BROKEN, DEADLINE_EXCEEDED) == AttemptCounts(
        attempts=4, errors=2
    )


def test_ends_that_do_not_depend_on_the_target_are_not_counted():
    for end in (AttemptEnd.ABANDONED, AttemptEnd.TIMED_OUT, AttemptEnd.REJECTED):
        assert counts_of(AttemptReport(end)) == AttemptCounts(0, 0)


def test_attempts_older_than_the_window_are_dropped():
    assert counts_of(ERROR, ERROR, now=1.0 + WINDOW_S) == AttemptCounts(0, 0)


def test_the_counts_of_all_hosts_show_what_a_single_host_cannot():
    counts = counts_of(SUCCESS, SUCCESS, ERROR)
    assert not is_error_rate_high([counts])
    assert is_error_rate_high([counts] * 4)


def test_a_few_errors_among_many_responses_are_not_a_high_error_rate():
    assert not is_error_rate_high([AttemptCounts(attempts=100, errors=5)])
