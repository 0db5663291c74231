"""Which crashes show that a part of requests is their cause."""

import math

import pytest

from almondspindle.core.crashes import Crash, TargetCrash
from almondspindle.decisions.request_quarantine import add_cut, fatal_parts, is_same_crash

PART, OTHER = "part", "other"


def crash(at: float, has_begun: bool, part: str = PART, request: str = "") -> TargetCrash:
    """Return a crash at `at` of the target that is named by it, which cut a request with `part`."""
    cut = Crash(
        request or f"r-{at}",
        f"target-{at % 4}",
        frozenset({part}),
        at - 0.5,
        at,
        at - 0.1,
        "model",
        has_begun,
    )
    known = TargetCrash(cut.address, cut.service, cut.crashed_at, cut.last_response_at)
    add_cut(known, cut)
    return known


def is_fatal(crashes: list[TargetCrash], answered: dict[str, float] | None = None) -> bool:
    return fatal_parts(crashes[-1], [PART], crashes, answered or {}, []) == {PART}


@pytest.mark.parametrize(
    ("has_begun", "others", "needed"),
    [(False, 0, 3), (True, 0, 3), (False, 1, 3), (True, 1, 4)],
)
def test_more_crashes_of_begun_responses_are_needed_while_targets_crash_without_the_part(
    has_begun, others, needed
):
    without = [crash(1.0, False, OTHER)] * others
    crashes = [crash(3.0 + number, has_begun) for number in range(needed)]
    assert is_fatal([*without, *crashes])
    assert not is_fatal([*without, *crashes[1:]])


def test_a_crash_without_the_part_long_ago_does_not_count():
    crashes = [crash(100.0 + number, True) for number in range(3)]
    assert is_fatal([crash(1.0, True, OTHER), *crashes])


def test_a_part_that_was_answered_needs_twice_as_many_crashes():
    crashes = [crash(3.0 + number, True) for number in range(6)]
    assert is_fatal(crashes, {PART: 1.0})
    assert not is_fatal(crashes[1:], {PART: 1.0})
    assert not is_fatal(crashes, {PART: 3.5})


def test_of_several_requests_with_a_part_the_last_one_counts():
    known = crash(3.0, True, request="early")
    late = Crash("late", known.address, frozenset({PART}), 2.9, 3.1, -math.inf, "model", False)
    assert is_same_crash(known, late)
    add_cut(known, late)
    part = known.parts[PART]
    assert (part.request_id, part.sent_at, part.has_begun) == ("late", 2.9, False)
