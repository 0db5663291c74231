"""The report on an idempotency key for operators."""

import pytest

from almondspindle.core.claims import ClaimState
from almondspindle.core.outcomes import RunState
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, key_digest
from almondspindle.decisions.claim_reports import report_key
from tests.decisions.test_claims import NOW, SETTLEMENTS, A, attempt, claim, merge_into_empty, uuid7

CASES = [
    (ClaimState.CLAIMED, 0.0, RunState.IN_PROGRESS, 1),
    (ClaimState.CLAIMED, 60.0, RunState.UNKNOWN, 1),
    (ClaimState.RELEASED, 60.0, RunState.NOT_RUN, 2),
    (ClaimState.UNKNOWN, 0.0, RunState.UNKNOWN, 2),
    (ClaimState.ANSWERED, 0.0, RunState.RUN, 3),
]


@pytest.mark.parametrize(("state", "later_s", "run_state", "line_count"), CASES)
def test_report_follows_the_state_of_the_record(state, later_s, run_state, line_count):
    part, _ = merge_into_empty(claim(A), *SETTLEMENTS[state])
    report = report_key(uuid7(), part.records[key_digest(attempt(A).scope)], NOW + later_s)
    assert (report.state, report.run_state, len(report.lines)) == (state, run_state, line_count)
    assert "host-1" in report.lines[0]


def test_key_without_a_record_is_reported_as_not_run_only_within_the_retention_time():
    assert report_key(uuid7(), None, NOW).run_state is RunState.NOT_RUN
    late = NOW + MAX_RETENTION_S + 1.0
    assert report_key(uuid7(), None, late).run_state is RunState.UNKNOWN
