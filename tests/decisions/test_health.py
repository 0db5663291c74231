"""A target's health after faults, and the limits of slow start."""

import pytest

from almondspindle.core.config import Policy
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import InvariantError
from almondspindle.decisions.health import (
    MIN_BASELINE_SAMPLES,
    AttemptFailed,
    Health,
    PollAnswered,
    PollFailed,
    ResponseStarted,
    initial_health,
    is_cold,
    observe,
)
from almondspindle.decisions.slow_start import is_in_slice, is_ramp_over, ramp_limit, slice_share

POLICY = Policy(cold_limit=2, slow_start_s=30.0)
LIMIT = 64


def report(boot: str, uptime_s: float, at: float) -> PollAnswered:
    return PollAnswered(LoadReport(boot, uptime_s, 0), at)


FAST = [(ResponseStarted(0.1), 100.0)] * MIN_BASELINE_SAMPLES
OLD_BOOT = (report("a", 500.0, 100.0), 100.0)

# Whether the target answers polls (one of a plain service does not), and whether it joined, which
# means that it is new or back in service.
POLLED, PLAIN, PLAIN_JOINED = (True, False), (False, False), (False, True)

# name, kind of target, observations with their times, and the expected health at 110 s: whether it
# is cold, whether it may have restarted and whether it is unreachable
CASES = [
    ("first report of an old boot", POLLED, [OLD_BOOT], False, False, False),
    ("first report of a young boot", POLLED, [(report("a", 5.0, 100), 100)], True, False, False),
    ("new boot id", POLLED, [OLD_BOOT, (report("b", 1.0, 109), 109)], True, False, False),
    ("same boot id again", POLLED, [OLD_BOOT, (report("a", 509.0, 109), 109)], False, False, False),
    ("attempt failed", POLLED, [OLD_BOOT, (AttemptFailed(), 105)], False, True, False),
    (
        "attempt failed, same boot",
        POLLED,
        [OLD_BOOT, (AttemptFailed(), 105), (report("a", 506.0, 106), 106)],
        False,
        False,
        False,
    ),
    (
        "attempt failed, new boot",
        POLLED,
        [OLD_BOOT, (AttemptFailed(), 105), (report("b", 0.5, 106), 106)],
        True,
        False,
        False,
    ),
    (
        "a poll sent before the failure proves nothing",
        POLLED,
        [OLD_BOOT, (AttemptFailed(), 105), (report("a", 504.0, 104.9), 106)],
        False,
        True,
        False,
    ),
    (
        "a response does not clear the suspicion of a target that answers polls",
        POLLED,
        [OLD_BOOT, (AttemptFailed(), 105), (ResponseStarted(0.1), 106)],
        False,
        True,
        False,
    ),
    ("two missed polls", POLLED, [OLD_BOOT, *[(PollFailed(), 105)] * 2], False, False, False),
    ("three missed polls", POLLED, [OLD_BOOT, *[(PollFailed(), 105)] * 3], False, True, True),
    ("joined with an old boot", (True, True), [OLD_BOOT], True, False, False),
    ("plain, listed before", PLAIN, [], False, False, False),
    ("plain, joined", PLAIN_JOINED, [], True, False, False),
    (
        "plain, refused then accepted",
        PLAIN,
        [(AttemptFailed(), 105), (ResponseStarted(0.1), 106)],
        True,
        False,
        False,
    ),
    (
        "slow responses",
        POLLED,
        [OLD_BOOT, *FAST, *[(ResponseStarted(2.0), 109)] * 4],
        True,
        False,
        False,
    ),
    (
        "three slow responses",
        POLLED,
        [OLD_BOOT, *FAST, *[(ResponseStarted(2.0), 109)] * 3],
        False,
        False,
        False,
    ),
    (
        "slow from the start",
        POLLED,
        [OLD_BOOT, *[(ResponseStarted(2.0), 109)] * 30],
        False,
        False,
        False,
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case[0])
def test_health_after_faults(case):
    _, (answers_polls, joined), events, cold, suspected, unreachable = case
    health = initial_health(100.0, answers_polls, joined)
    for event, at in events:
        health = observe(event, health, at)
    assert is_cold(health, POLICY, LIMIT, 110.0) is cold
    assert (health.may_have_restarted, health.is_unreachable) == (suspected, unreachable)


def test_an_unknown_observation_raises_an_invariant_error():
    with pytest.raises(InvariantError):
        observe(object(), Health(0.0, True), 0.0)


def test_the_ramp_keeps_the_cold_limit_and_then_doubles():
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


def test_the_slice_does_not_exceed_what_the_limit_can_carry():
    assert slice_share(POLICY, 29.0, 46.0) * 46.0 <= POLICY.cold_limit
    within = sum(is_in_slice("t", f"c-{n}", 0.3) for n in range(4000))
    assert 0.27 < within / 4000 < 0.33
