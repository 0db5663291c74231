"""Whether a record that is missing from the store has lapsed during an outage.

The store drops the records of writers that it does not hear for a while, at times also while it
is down. The writers that live are back soon after it returns.
"""

from dataclasses import dataclass

REREGISTRATION_S = 2.3  # the platform's page says about two seconds after the store's return
# Before the time is up in which the requests of a target that leaves must end; the view looks
# at lapsed records four times a second, and a request takes some milliseconds to its target.
DRAIN_MARGIN_S = 0.6
# Each topic's calls are tried again within half a second; most have an answer by then.
RECONNECT_S = 0.3


@dataclass(frozen=True, slots=True)
class StoreAvailability:
    """When calls to the store began to fail, and when they began to succeed again."""

    failing_since: float | None = None
    recovered_at: float | None = None


def after_failure(availability: StoreAvailability, now: float) -> StoreAvailability:
    """Return the contact after a call that gave no result."""
    if availability.failing_since is not None:
        return availability
    return StoreAvailability(failing_since=now, recovered_at=availability.recovered_at)


def after_success(availability: StoreAvailability, now: float) -> StoreAvailability:
    """Return the contact after a call that succeeded."""
    if availability.failing_since is None:
        return availability
    return StoreAvailability(failing_since=None, recovered_at=now)


def retain_until(
    availability: StoreAvailability, now: float, existed_at_recovery: bool, drain_s: float
) -> float | None:
    """Return until when a record removed now may still return, or None if it is gone.

    `is_recent` tells that the record was still there at the store's return. The writer of a record
    that goes after the return may as well have left as planned, and gets no work later than
    `drain_s` after that.
    """
    if availability.failing_since is not None:
        return now + REREGISTRATION_S
    if availability.recovered_at is None or now >= availability.recovered_at + REREGISTRATION_S:
        return None
    until = availability.recovered_at + REREGISTRATION_S
    if existed_at_recovery or now > availability.recovered_at + RECONNECT_S:
        return min(until, now + max(0.0, drain_s - DRAIN_MARGIN_S))
    return until
