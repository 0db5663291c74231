"""Records that lapse during an outage of the store."""

from almondspindle.decisions.lapses import (
    RETURN_S,
    StoreContact,
    after_answer,
    after_failure,
    lapse_until,
)


def test_a_record_removed_in_calm_is_gone():
    assert lapse_until(StoreContact(), now=5.0) is None


def test_a_record_removed_around_an_outage_may_return():
    down = after_failure(StoreContact(), now=5.0)
    assert lapse_until(down, now=6.0) == 6.0 + RETURN_S
    back = after_answer(after_failure(down, now=6.5), now=7.0)
    assert lapse_until(back, now=7.5) == 7.0 + RETURN_S
    assert lapse_until(back, now=7.0 + RETURN_S) is None


def test_answers_in_calm_change_nothing():
    assert after_answer(StoreContact(), now=5.0) == StoreContact()
