"""Test how long a target that asks for a pause gets nothing, and when callers return."""

import math

import pytest

from almondspindle.core.placements import RequestedPause
from almondspindle.decisions.target_pauses import MAX_PAUSE_S, MAX_SPREAD_S, pause_s, retry_after_s


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(2.0, 2.0), (0.25, 0.25), (1e9, MAX_PAUSE_S), (math.inf, MAX_PAUSE_S), (0.0, None),
     (-3.0, None), (None, None)],
)  # fmt: skip
def test_pause_is_bounded(seconds, expected):
    assert pause_s(RequestedPause("", seconds)) == expected


@pytest.mark.parametrize("left_s", [0.1, 1.0, 3.0, 60.0])
def test_callers_return_after_the_pause_one_after_the_other(left_s):
    waits = sorted(retry_after_s(10.0 + left_s, f"r-{n}", 10.0) for n in range(200))
    assert waits[0] >= left_s
    assert waits[-1] <= left_s + MAX_SPREAD_S
    tenth = (waits[-1] - waits[0]) / 10
    buckets = [int((wait - waits[0]) / tenth) for wait in waits]
    assert max(buckets.count(bucket) for bucket in range(10)) < 50
