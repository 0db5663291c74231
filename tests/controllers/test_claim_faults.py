"""A commit runs at most once per key, and refusals state correctly whether it ran."""

import asyncio

import pytest

from almondspindle.decisions import claims as claim_decisions
from tests.standins.claim_faults import FAULT_CASES, PAUSE_CASES, run_case


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
def test_a_key_runs_at_most_once_under_faults(case):
    cluster, retry_outcome = asyncio.run(run_case(case))
    assert (cluster.duplicated_key_count, cluster.false_not_run_count) == (0, 0)
    assert (retry_outcome, sum(cluster.runs.values())) == (case.retry_outcome, case.runs)


@pytest.mark.parametrize("case", PAUSE_CASES, ids=lambda case: case.name)
def test_a_holder_paused_past_the_settle_margin_keeps_its_claim(case, monkeypatch):
    monkeypatch.setattr(claim_decisions, "SETTLE_MARGIN_S", -10.0)
    cluster, retry_outcome = asyncio.run(run_case(case))
    assert (cluster.duplicated_key_count, cluster.false_not_run_count) == (0, 0)
    assert (retry_outcome, sum(cluster.runs.values())) == (case.retry_outcome, case.runs)
