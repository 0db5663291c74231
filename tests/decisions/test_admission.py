"""The bound on requests at a target, and its shares among teams and kinds of work."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.calls import WorkKind
from almondspindle.core.config import Policy
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.outcomes import RefusalCode
from almondspindle.decisions.admission import (
    Exclusivity,
    ServiceLoad,
    TargetLoad,
    estimate_others_in_flight,
    exclusivity_of,
    refusal_of,
    sum_digests,
    target_bound,
)
from almondspindle.decisions.fair_share import DEMAND_TTL_S, Demand, is_within_share
from almondspindle.decisions.health import Health
from almondspindle.decisions.rate_limit import burst_size, take_token

NOW = 1000.0
POLICY = Policy(load_multiple=1.25, load_floor=4, cold_limit=2, slow_start_s=30.0)
WARM = Health(0.0, True, boot_id="a", last_answered_poll_at=990.0)
COLD = replace(WARM, cold_at=990.0)
LOAD = TargetLoad("t", 0, 0, 64, ServiceLoad(399, 10), WARM, Exclusivity.EXCLUSIVE, True)
JOINED_PLAIN = Health(990.0, False, cold_at=990.0)

# (changes to LOAD, expected bound)
BOUNDS = [
    ({}, 50),
    ({"limit": 30}, 30),
    ({"service": ServiceLoad(0, 10)}, 4),
    ({"service": ServiceLoad(0, 0)}, 64),
    ({"health": COLD}, 2),
    ({"health": replace(COLD, cold_at=967.0)}, 4),
    ({"health": replace(COLD, cold_at=967.0), "boot_confirmed": False}, 2),
    ({"health": replace(WARM, suspected_restart_at=995.0)}, 2),
    ({"health": Health(990.0, True)}, 2),
    ({"health": JOINED_PLAIN}, 2),
    ({"health": Health(990.0, False), "boot_confirmed": False}, 50),
    ({"boot_confirmed": False}, 2),
    ({"exclusivity": Exclusivity.AWAITING_REPORT}, 0),
    ({"exclusivity": Exclusivity.SHARED}, 25),
    ({"exclusivity": Exclusivity.SHARED, "boot_confirmed": False}, 0),
    ({"exclusivity": Exclusivity.SHARED, "health": COLD}, 0),
]


@pytest.mark.parametrize(("changes", "bound"), BOUNDS)
def test_bound_is_the_lowest_of_all_limits(changes, bound):
    load = replace(LOAD, **changes)
    assert target_bound(POLICY, load, NOW) == bound
    full = replace(load, in_flight=bound // 2, others_in_flight=bound - bound // 2)
    assert refusal_of(POLICY, full, None, NOW) in (RefusalCode.FULL, RefusalCode.STARTING)
    if bound:
        assert (
            refusal_of(POLICY, replace(full, others_in_flight=full.others_in_flight - 1), None, NOW)
            is None
        )


def test_cold_target_refuses_chats_outside_its_slice_unless_all_targets_are_cold():
    chats = [f"c-{n}" for n in range(200)]
    refusals = {refusal_of(POLICY, replace(LOAD, health=COLD), chat, NOW) for chat in chats}
    assert refusals == {None, RefusalCode.STARTING}
    all_cold = replace(LOAD, health=COLD, service=ServiceLoad(0, 0))
    assert {refusal_of(POLICY, all_cold, chat, NOW) for chat in chats} == {None}


def test_only_the_limits_apply_to_a_chat_that_no_other_target_takes():
    """Guard against refusing such a chat everywhere.

    Digests lag, so they may still report warm targets that have just turned cold. The slice of a
    cold target must then not keep a chat out that no other target takes.
    """
    cold = replace(LOAD, health=COLD)
    chats = [f"chat-{n}" for n in range(50)]
    assert RefusalCode.STARTING in {refusal_of(POLICY, cold, chat, NOW) for chat in chats}
    assert {refusal_of(POLICY, cold, chat, NOW, others_declined=True) for chat in chats} == {None}
    full = replace(cold, in_flight=target_bound(POLICY, cold, NOW))
    assert {refusal_of(POLICY, full, chat, NOW, others_declined=True) for chat in chats} == {
        RefusalCode.STARTING
    }


@pytest.mark.parametrize(
    ("health", "has_previous_owner", "now", "expected"),
    [
        (Health(100.0, True), False, 101.0, Exclusivity.AWAITING_REPORT),
        (Health(100.0, True), False, 102.0, Exclusivity.EXCLUSIVE),
        (Health(100.0, False), False, 100.0, Exclusivity.EXCLUSIVE),
        (Health(100.0, False), True, 104.9, Exclusivity.SHARED),
        (Health(100.0, False), True, 105.0, Exclusivity.EXCLUSIVE),
        (
            Health(100.0, True, boot_id="a", last_answered_poll_at=101.0),
            False,
            101.0,
            Exclusivity.EXCLUSIVE,
        ),
        (
            Health(100.0, True, boot_id="a", last_answered_poll_at=104.0),
            True,
            120.0,
            Exclusivity.SHARED,
        ),
        (
            Health(100.0, True, boot_id="a", last_answered_poll_at=106.0),
            True,
            106.0,
            Exclusivity.EXCLUSIVE,
        ),
    ],
)
def test_new_owner_is_exclusive_once_a_report_follows_the_takeover(
    health, has_previous_owner, now, expected
):
    assert exclusivity_of(health, has_previous_owner, 5.0, now) is expected


def test_new_owner_estimates_the_requests_of_other_hosts():
    assert estimate_others_in_flight(5, own_low=0, own_peak=3, previous=None) == 5
    assert estimate_others_in_flight(5, own_low=0, own_peak=3, previous=4) == 4
    assert estimate_others_in_flight(5, own_low=0, own_peak=3, previous=0) == 2
    assert estimate_others_in_flight(1, own_low=0, own_peak=3, previous=0) == 0


def test_cold_targets_are_left_out_of_the_mean():
    digests = [ServiceDigest("s", 22, 3, 1, 2), ServiceDigest("s", 19, 2)]
    assert sum_digests(digests) == ServiceLoad(39, 4)
    assert sum_digests(digests).mean() == 10.0


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.booleans()), max_size=200),
    st.integers(1, 30),
)
def test_surging_team_cannot_starve_the_others(steps, bound):
    """A team below its fair share is admitted as requests of the surging team end."""
    weights = {"a": 1.0, "b": 2.0, "c": 1.0}
    in_flight: dict[str, int] = {"surge": 0}
    requested_at = {"surge": 0.0}
    while is_within_share(
        "surge", WorkKind.CHAT, bound, weights, Demand(in_flight, requested_at), 0.0
    ):
        in_flight["surge"] += 1
    assert in_flight["surge"] == bound
    for team, ends in steps:
        requested_at[team] = requested_at["surge"] = 0.0
        demand = Demand(in_flight, requested_at)
        in_flight[team] = in_flight.get(team, 0) + is_within_share(
            team, WorkKind.CHAT, bound, weights, demand, 0.0
        )
        if ends and in_flight["surge"]:
            in_flight["surge"] -= 1
        if is_within_share(
            "surge", WorkKind.CHAT, bound, weights, Demand(in_flight, requested_at), 0.0
        ):
            in_flight["surge"] += 1
        assert sum(in_flight.values()) <= bound
    if len(requested_at) > 1 and bound >= 8:
        ended = sum(ends for _, ends in steps)
        others = sum(count for team, count in in_flight.items() if team != "surge")
        assert others >= min(ended, bound // 4, len(steps)) - 1


def test_commits_and_reads_have_priority_over_chats_while_requested():
    busy = Demand({"a": 9}, {"a": NOW}, priority_requested_at=NOW)
    assert not is_within_share("a", WorkKind.CHAT, 10, {}, busy, NOW)
    assert is_within_share("a", WorkKind.COMMIT, 10, {}, busy, NOW)
    assert is_within_share("a", WorkKind.READ, 10, {}, busy, NOW)
    assert is_within_share("a", WorkKind.CHAT, 10, {}, busy, NOW + DEMAND_TTL_S)
    assert is_within_share(
        "a", WorkKind.CHAT, 1, {}, Demand({}, {}, priority_requested_at=NOW), NOW
    )


@settings(derandomize=True)
@given(st.lists(st.floats(0.0, 2.0), max_size=100), st.floats(0.05, 20.0))
def test_token_bucket_admits_at_most_its_rate_and_burst(gaps, rate):
    bucket, now, admitted = None, 0.0, 0
    for gap_s in gaps:
        now += gap_s
        taken = take_token(bucket, rate, now)
        bucket = taken.bucket
        admitted += taken.wait_s is None
        assert admitted <= burst_size(rate) + rate * now + 1e-6
        if taken.wait_s is not None:
            assert take_token(bucket, rate, now + taken.wait_s + 1e-6).wait_s is None
