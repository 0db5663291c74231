"""When a host writes its record again that the store has lost."""

import random
from dataclasses import replace

import pytest

from almondspindle.decisions.announcing import (
    PROPAGATION_S,
    Listing,
    WrittenRecord,
    rewrite_at,
)

WRITTEN = WrittenRecord(era=1, at=10.0)
LISTED = Listing(is_listed=True, era=1, host_count=8)
MISSING = replace(LISTED, is_listed=False)
WRITES_PER_S = 400


@pytest.mark.parametrize(
    ("listing", "due_at"),
    [
        (LISTED, None),
        (replace(LISTED, era=2), None),
        (MISSING, 10.0 + PROPAGATION_S),  # the copy may be older than the write
        (replace(MISSING, era=2), 11.0),  # the store came back without it
        (replace(MISSING, era=0), 10.0 + PROPAGATION_S),  # the copy is of the era before
    ],
)
def test_a_record_is_written_again_if_the_store_has_lost_it(listing, due_at):
    assert rewrite_at(WRITTEN, listing, 0.0, 11.0) == due_at


def test_the_wait_counts_from_when_the_record_was_first_missing():
    missing = replace(WRITTEN, missing_since=11.0)
    assert rewrite_at(missing, replace(MISSING, era=2), 0.5, 11.3) == 11.0 + 0.02


@pytest.mark.parametrize("hosts", [8, 195, 1100])
def test_hosts_that_were_all_lost_do_not_exceed_the_rate_of_writes(hosts):
    rng = random.Random(1)
    listing = Listing(is_listed=False, era=2, host_count=hosts)
    times = sorted(rewrite_at(WRITTEN, listing, rng.random(), 11.0) or 0.0 for _ in range(hosts))
    for at in times:
        assert sum(at <= other < at + 1.0 for other in times) < WRITES_PER_S
    if hosts == 195:
        assert times[-1] - times[0] < 1.0
