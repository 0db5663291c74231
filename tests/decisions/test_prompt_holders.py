"""Which targets hold a prompt, and from where another one copies it."""

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


def test_the_latest_holder_is_asked_first_then_the_first_in_the_order():
    assert copy_source(T[0], holders=[T[2], T[1]], ranked=T, healthy=T) == T[2]
    assert copy_source(T[0], holders=[], ranked=T, healthy=T) == T[1]
    assert copy_source(T[3], holders=[], ranked=T, healthy=T) == T[0]


def test_only_sound_targets_are_asked():
    assert copy_source(T[0], holders=[T[2]], ranked=T, healthy=[T[0], T[3]]) == T[3]
    assert copy_source(T[0], holders=[T[2]], ranked=T, healthy=[T[0]]) is None


def test_holders_are_forgotten_with_time_and_with_a_restart():
    book = PromptHolderIndex()
    book.add("key", T[0], now=1.0)
    book.add("key", T[1], now=2.0)
    assert book.holders("key", now=3.0) == [T[1], T[0]]
    book.remove_target(T[1])
    assert book.holders("key", now=3.0) == [T[0]]
    assert book.holders("key", now=1.1 + HOLDER_TTL_S) == []


def test_the_book_is_bounded():
    book = PromptHolderIndex()
    for number in range(MAX_PROMPTS + 1):
        book.add(f"key-{number}", T[0], now=1.0)
    assert book.holders("key-0", now=1.0) == []
    assert book.holders("key-1", now=1.0) == [T[0]]


def test_a_target_that_leaves_as_planned_is_asked_while_it_serves():
    assert serves_until(last_response_at=9.0, failures=0, drain_s=2.0, now=10.0) == 12.0


def test_a_target_that_may_have_died_is_not_asked():
    silent_since = 10.0 - MAX_RESPONSE_AGE_S - 0.1
    assert serves_until(last_response_at=silent_since, failures=0, drain_s=2.0, now=10.0) is None
    assert serves_until(last_response_at=9.9, failures=1, drain_s=2.0, now=10.0) is None
