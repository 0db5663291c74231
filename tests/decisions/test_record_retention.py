"""Retention of records that are removed around an outage of the store."""

from almondspindle.decisions.record_retention import (
    RECONNECT_S,
    REREGISTRATION_S,
    StoreAvailability,
    after_failure,
    after_success,
    retain_until,
)

DRAIN_S = 2.0


def retained_until(
    availability: StoreAvailability, now: float, existed_at_recovery: bool = False
) -> float | None:
    return retain_until(availability, now, existed_at_recovery, DRAIN_S)


def test_a_record_removed_without_an_outage_is_dropped():
    assert retained_until(StoreAvailability(), now=5.0) is None


def test_a_record_removed_around_an_outage_is_retained():
    failing = after_failure(StoreAvailability(), now=5.0)
    assert retained_until(failing, now=6.0) == 6.0 + REREGISTRATION_S
    recovered = after_success(after_failure(failing, now=6.5), now=7.0)
    assert retained_until(recovered, now=7.0 + RECONNECT_S) == 7.0 + REREGISTRATION_S
    assert retained_until(recovered, now=7.0 + REREGISTRATION_S) is None


def test_a_record_removed_after_the_recovery_is_not_retained_beyond_the_drain_time():
    # Seen in a simulation (skeleton-coast, seed 71742981595): the store recovered at 14.18 s, the
    # record was removed at 14.51 s, and its target still got work at 16.79 s.
    recovered = after_success(after_failure(StoreAvailability(), now=11.21), now=14.18)
    for existed_at_recovery, now in ((False, 14.51), (True, 14.2)):
        result = retained_until(recovered, now, existed_at_recovery)
        assert result is not None
        assert now < result < now + DRAIN_S - 0.25


def test_a_success_without_an_outage_changes_nothing():
    assert after_success(StoreAvailability(), now=5.0) == StoreAvailability()
