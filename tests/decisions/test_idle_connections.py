"""Tests for the time that callers' connections may stay idle."""

import pytest

from almondspindle.decisions.idle_connections import IDLE_GRACE_S, idle_until


@pytest.mark.parametrize(
    ("limit_then_s", "limit_s", "changed_at", "expected"),
    [
        (15.0, 15.0, 50.0, 115.0),
        (15.0, 5.0, 90.0, 105.0),  # shortened before it became idle
        (15.0, 5.0, 108.0, 113.0),  # shortened while idle: idle since the change at most
        (15.0, 5.0, 114.0, 115.0),  # not longer than the limit that the caller knew
        (5.0, 15.0, 103.0, 115.0),  # lengthened
    ],
)
def test_a_shortened_limit_counts_from_its_change(limit_then_s, limit_s, changed_at, expected):
    until = idle_until(100.0, limit_then_s, limit_s, changed_at)
    assert until == expected + IDLE_GRACE_S
