"""Records that lapse during an outage of the store."""

from almondspindle.decisions.record_retention import (
    RECONNECT_S,
    REREGISTRATION_S,
    StoreAvailability,
    after_failure,
    after_success,
    retain_until,
)

DRAIN_S = 2.0


def until(contact: StoreAvailability, now: float, is_recent: bool = False) -> float | None:
    return retain_until(contact, now, is_recent, DRAIN_S)


def test_a_record_removed_in_calm_is_gone():
    assert until(StoreAvailability(), now=5.0) is None


def test_a_record_removed_around_an_outage_may_return():
    down = after_failure(StoreAvailability(), now=5.0)
    assert until(down, now=6.0) == 6.0 + REREGISTRATION_S
    back = after_success(after_failure(down, now=6.5), now=7.0)
    assert until(back, now=7.0 + RECONNECT_S) == 7.0 + REREGISTRATION_S
    assert until(back, now=7.0 + REREGISTRATION_S) is None


def test_a_record_removed_after_the_return_gets_no_work_beyond_the_bound_on_leaving():
    # Mix of skeleton-coast, seed 71742981595: back at 14.18 s, removed at 14.51, used at 16.79.
    back = after_success(after_failure(StoreAvailability(), now=11.21), now=14.18)
    for is_recent, now in ((False, 14.51), (True, 14.2)):
        found = until(back, now, is_recent)
        assert found is not None
        assert now < found < now + DRAIN_S - 0.25


def test_answers_in_calm_change_nothing():
    assert after_success(StoreAvailability(), now=5.0) == StoreAvailability()
