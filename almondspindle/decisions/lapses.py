"""Whether a record that is missing from the store has lapsed during an outage.

The store drops the records of writers that it does not hear for a while, at times also while it
is down. The writers that live are back soon after it returns.
"""

from dataclasses import dataclass

RETURN_S = 2.3  # the platform's page says about two seconds after the store's return


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


def lapse_until(contact: StoreContact, now: float) -> float | None:
    """Return until when a record removed now may still return, or None if it is gone."""
    if contact.failing_since is not None:
        return now + RETURN_S
    if contact.back_at is not None and now < contact.back_at + RETURN_S:
        return contact.back_at + RETURN_S
    return None
