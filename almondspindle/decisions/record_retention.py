"""Whether a record that is missing from the store has lapsed during an outage.

The store drops the records of writers that it does not hear for a while, at times also while it
is down. The writers that live are back soon after it returns.
"""

from dataclasses import dataclass

RETURN_S = 2.3  # the platform's page says about two seconds after the store's return
# Before the time is up in which the requests of a target that leaves must end; the view looks
# at lapsed records four times a second, and a request takes some milliseconds to its target.
LEAVING_MARGIN_S = 0.6
# Each topic's calls are tried again within half a second; most have an answer by then.
FIRST_ANSWERS_S = 0.3


@dataclass(frozen=True, slots=True)
class StoreContact:
    """When calls to the store began to fail, and when they began to succeed again."""

    failing_since: float | None = None
    back_at: float | None = None


def after_failure(contact: StoreContact, now: float) -> StoreContact:
    """Return the contact after a call that gave no result."""
    if contact.failing_since is not None:
        return contact
    return StoreContact(failing_since=now, back_at=contact.back_at)


def after_answer(contact: StoreContact, now: float) -> StoreContact:
    """Return the contact after a call that succeeded."""
    if contact.failing_since is None:
        return contact
    return StoreContact(failing_since=None, back_at=now)


def lapse_until(contact: StoreContact, now: float, is_recent: bool, drain_s: float) -> float | None:
    """Return until when a record removed now may still return, or None if it is gone.

    `is_recent` tells that the record was still there at the store's return. The writer of a record
    that goes after the return may as well have left as planned, and gets no work later than
    `drain_s` after that.
    """
    if contact.failing_since is not None:
        return now + RETURN_S
    if contact.back_at is None or now >= contact.back_at + RETURN_S:
        return None
    until = contact.back_at + RETURN_S
    if is_recent or now > contact.back_at + FIRST_ANSWERS_S:
        return min(until, now + max(0.0, drain_s - LEAVING_MARGIN_S))
    return until
