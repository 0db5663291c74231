"""What an owner concludes about a target: a table of fault cases."""

import pytest

from almondspindle.core.config import Policy
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import InvariantError
from almondspindle.decisions.health import (
    MIN_BASELINE_SAMPLES,
    AttemptFailed,
    Health,
    PollFailed,
    ReportReceived,
    ResponseStarted,
    initial_health,
    is_cold,
    observe,
)
from almondspindle.decisions.slow_start import is_in_slice, is_ramp_over, ramp_limit, slice_share

POLICY = Policy(cold_limit=2, slow_start_s=30.0)
LIMIT = 64


def heard(boot: str, uptime_s: float, at: float) -> ReportReceived:
    return ReportReceived(LoadReport(boot, uptime_s, 0), at)


FAST = [(ResponseStarted(0.1), 100.0)] * MIN_BASELINE_SAMPLES
OLD = (heard("a", 500.0, 100.0), 100.0)

# Whether a target reports, and whether it joined.
R, P, J = (True, False), (False, False), (False, True)

# name, R or P or J, observations with their times, cold at 110, in doubt, unreachable
CASES = [
    ("first report of an old boot", R, [OLD], False, False, False),
    ("first report of a young boot", R, [(heard("a", 5.0, 100), 100)], True, False, False),
    ("new boot id", R, [OLD, (heard("b", 1.0, 109), 109)], True, False, False),
    ("same boot id again", R, [OLD, (heard("a", 509.0, 109), 109)], False, False, False),
    ("attempt failed", R, [OLD, (AttemptFailed(), 105)], False, True, False),
    (
        "attempt failed, same boot",
        R,
        [OLD, (AttemptFailed(), 105), (heard("a", 506.0, 106), 106)],
        False,
        False,
        False,
    ),
    (
        "attempt failed, new boot",
        R,
        [OLD, (AttemptFailed(), 105), (heard("b", 0.5, 106), 106)],
        True,
        False,
        False,
    ),
    (
        "a report sent before the failure settles nothing",
        R,
        [OLD, (AttemptFailed(), 105), (heard("a", 504.0, 104.9), 106)],
        False,
        True,
        False,
    ),
    (
        "an answer settles no doubt about a target that reports",
        R,
        [OLD, (AttemptFailed(), 105), (ResponseStarted(0.1), 106)],
        False,
        True,
        False,
    ),
    ("two missed polls", R, [OLD, *[(PollFailed(), 105)] * 2], False, False, False),
    ("three missed polls", R, [OLD, *[(PollFailed(), 105)] * 3], False, True, True),
    ("joined with an old boot", (True, True), [OLD], True, False, False),
    ("plain, listed before", P, [], False, False, False),
    ("plain, joined", J, [], True, False, False),
    (
        "plain, refused then accepted",
        P,
        [(AttemptFailed(), 105), (ResponseStarted(0.1), 106)],
        True,
        False,
        False,
    ),
    ("slow answers", R, [OLD, *FAST, *[(ResponseStarted(2.0), 109)] * 4], True, False, False),
    (
        "three slow answers",
        R,
        [OLD, *FAST, *[(ResponseStarted(2.0), 109)] * 3],
        False,
        False,
        False,
    ),
    ("slow from the start", R, [OLD, *[(ResponseStarted(2.0), 109)] * 30], False, False, False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case[0])
def test_fault_cases(case):
    _, (reports, joined), steps, cold, in_doubt, unreachable = case
    health = initial_health(100.0, reports, joined)
    for event, at in steps:
        health = observe(event, health, at)
    assert is_cold(health, POLICY, LIMIT, 110.0) is cold
    assert (health.may_have_restarted, health.is_unreachable) == (in_doubt, unreachable)


def test_an_unknown_observation_breaks_an_invariant():
    with pytest.raises(InvariantError):
        observe(object(), Health(0.0, True), 0.0)


def test_the_ramp_holds_the_cold_limit_and_then_doubles():
    assert [ramp_limit(POLICY, age) for age in (0, 29.9, 30, 33, 36, 45)] == [2, 2, 2, 4, 8, 64]
    assert not is_ramp_over(POLICY, 44.0, LIMIT)
    assert is_ramp_over(POLICY, 45.0, LIMIT)
    assert is_ramp_over(Policy(slow_start_s=0.0), 0.0, LIMIT)


def test_a_chat_moves_into_the_slice_once_and_stays():
    shares = [slice_share(POLICY, age / 2, 1.0) for age in range(0, 91)]
    assert shares == sorted(shares)
    assert (shares[0], shares[-1]) == (0.0, 1.0)
    for number in range(200):
        inside = [is_in_slice("t", f"chat-{number}", share) for share in shares]
        assert inside == sorted(inside)
        assert inside[-1]


def test_the_slice_is_no_larger_than_the_limit_can_carry():
    assert slice_share(POLICY, 29.0, 46.0) * 46.0 <= POLICY.cold_limit
    within = sum(is_in_slice("t", f"c-{n}", 0.3) for n in range(4000))
    assert 0.27 < within / 4000 < 0.33
