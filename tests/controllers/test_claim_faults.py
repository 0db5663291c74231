"""At most one run per key, and true refusals, over the table of faults."""

import asyncio

import pytest

from tests.standins.claim_faults import ROWS, run_case


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_a_key_runs_at_most_once_whatever_fails(row):
    world, verdict = asyncio.run(run_case(row))
    assert (world.doubled, world.false_not_run) == (0, 0)
    assert (verdict, sum(world.runs.values())) == (row.retry, row.runs)
