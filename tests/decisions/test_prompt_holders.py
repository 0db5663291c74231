"""The index of prompt holders and the selection of a target to copy a prompt from."""

from almondspindle.core.identifiers import TargetName
from almondspindle.decisions.prompt_holders import (
    HOLDER_TTL_S,
    MAX_PROMPTS,
    MAX_RESPONSE_AGE_S,
    PromptHolderIndex,
    copy_source,
    serves_until,
)

T = [TargetName(f"t{number}") for number in range(4)]


def test_nothing_is_copied_to_a_target_that_holds_the_prompt():
    assert copy_source(T[0], holders=[T[1], T[0]], ranked=T, healthy=T) is None


def test_the_latest_holder_is_preferred_then_the_first_in_the_ranking():
    assert copy_source(T[0], holders=[T[2], T[1]], ranked=T, healthy=T) == T[2]
    assert copy_source(T[0], holders=[], ranked=T, healthy=T) == T[1]
    assert copy_source(T[3], holders=[], ranked=T, healthy=T) == T[0]


def test_only_healthy_targets_are_copied_from():
    assert copy_source(T[0], holders=[T[2]], ranked=T, healthy=[T[0], T[3]]) == T[3]
    assert copy_source(T[0], holders=[T[2]], ranked=T, healthy=[T[0]]) is None


def test_holders_are_removed_after_their_ttl_and_on_a_restart():
    index = PromptHolderIndex()
    index.add("key", T[0], now=1.0)
    index.add("key", T[1], now=2.0)
    assert index.holders("key", now=3.0) == [T[1], T[0]]
    index.remove_target(T[1])
    assert index.holders("key", now=3.0) == [T[0]]
    assert index.holders("key", now=1.1 + HOLDER_TTL_S) == []


def test_the_index_is_bounded():
    index = PromptHolderIndex()
    for number in range(MAX_PROMPTS + 1):
        index.add(f"key-{number}", T[0], now=1.0)
    assert index.holders("key-0", now=1.0) == []
    assert index.holders("key-1", now=1.0) == [T[0]]


def test_a_target_that_shuts_down_gracefully_serves_copies_while_it_drains():
    assert serves_until(last_response_at=9.0, failures=0, drain_s=2.0, now=10.0) == 12.0


def test_a_target_that_may_have_died_serves_no_copies():
    too_old = 10.0 - MAX_RESPONSE_AGE_S - 0.1
    assert serves_until(last_response_at=too_old, failures=0, drain_s=2.0, now=10.0) is None
    assert serves_until(last_response_at=9.9, failures=1, drain_s=2.0, now=10.0) is None
