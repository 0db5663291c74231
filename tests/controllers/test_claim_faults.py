"""At most one run per key, and true refusals, over the table of faults."""

import asyncio

import pytest

from almondspindle.decisions import claims as claim_decisions
from tests.standins.claim_faults import FAULT_CASES, PAUSE_CASES, run_case


@pytest.mark.parametrize("row", FAULT_CASES, ids=lambda row: row.name)
def test_a_key_runs_at_most_once_whatever_fails(row):
    world, verdict = asyncio.run(run_case(row))
    assert (world.duplicated_keys, world.false_not_run) == (0, 0)
    assert (verdict, sum(world.runs.values())) == (row.retry_outcome, row.runs)


@pytest.mark.parametrize("row", PAUSE_CASES, ids=lambda row: row.name)
def test_a_holder_paused_past_its_time_to_settle_keeps_its_claim(row, monkeypatch):
    monkeypatch.setattr(claim_decisions, "SETTLE_MARGIN_S", -10.0)
    world, verdict = asyncio.run(run_case(row))
    assert (world.duplicated_keys, world.false_not_run) == (0, 0)
    assert (verdict, sum(world.runs.values())) == (row.retry_outcome, row.runs)
