"""How long to retain records that disappeared from the store because of an outage.

The store removes records whose writers have not contacted it for a while. This may also happen
while the store itself is down. Live writers register again soon after the store recovers.

The store may also come back from a copy that is some seconds old. What it lacks then was not
removed: its writers write it again.

A host may also lose the store alone. Records that are removed meanwhile are then gone: the store
was up, and their writers could write.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from almondspindle.core.inventory import Topic

REREGISTRATION_S = 2.3  # the platform documents about two seconds after the store's recovery
# Margin before a leaving target's drain time ends. The view checks for expired records four times
# a second, and a request takes some milliseconds to reach its target.
DRAIN_MARGIN_S = 0.6
# Time after the store's recovery by which most topics have been read again. Their calls are retried
# within half a second.
RECONNECT_S = 0.3


PEER_CONTACT_TTL_S = 2.0  # reports on peers' contact with the store arrive several times a second


@dataclass(frozen=True, slots=True)
class StoreAvailability:
    """When calls to the store began to fail, and when they began to succeed again.

    `was_local` is set if the store served peers during the last outage.
    """

    failing_since: float | None = None
    recovered_at: float | None = None
    was_local: bool = False


@dataclass(frozen=True, slots=True)
class PeerContact:
    """A peer's contact with the store, as reported at `reported_at`.

    No call of the peer has failed since `since`, and the store last responded to it at
    `responded_at`. Times are in seconds on this host's monotonic clock.
    """

    reported_at: float
    since: float
    responded_at: float


def after_failure(availability: StoreAvailability, now: float) -> StoreAvailability:
    """Return the availability after a call that failed."""
    if availability.failing_since is not None:
        return availability
    return StoreAvailability(failing_since=now, recovered_at=availability.recovered_at)


def after_success(
    availability: StoreAvailability, now: float, contacts: Iterable[PeerContact] = ()
) -> StoreAvailability:
    """Return the availability after a call that succeeded.

    `contacts` are those of peers with the store, as they reported them.
    """
    failing_since = availability.failing_since
    if failing_since is None:
        return availability
    was_local = any(
        contact.since <= failing_since < contact.responded_at
        and now - contact.reported_at <= PEER_CONTACT_TTL_S
        for contact in contacts
    )
    return StoreAvailability(failing_since=None, recovered_at=now, was_local=was_local)


def after_restore(availability: StoreAvailability, now: float) -> StoreAvailability:
    """Return the availability after the store came back from an older copy.

    It was away for all hosts, whether calls failed or not.
    """
    return replace(availability, recovered_at=now, was_local=False)


def lost_record_retention_s(topic: Topic, evacuation_s: float) -> float:
    """Return for how long to use a record that the store lost when it came back, in seconds.

    The operator's exclusion of a zone must be in force `evacuation_s` seconds after its writing, so
    a lost one is written again within that time, and so is an order of a roll-out. Route tables
    have versions of their own, and the one in use isn't replaced by an older one.
    """
    retention_s = {
        Topic.TARGETS: REREGISTRATION_S,
        Topic.HOSTS: REREGISTRATION_S,
        Topic.ZONES: max(REREGISTRATION_S, evacuation_s),
        Topic.ROLLOUTS: max(REREGISTRATION_S, evacuation_s),
    }
    return retention_s.get(topic, 0.0)


def retain_until(
    availability: StoreAvailability, now: float, existed_at_recovery: bool, drain_s: float
) -> float | None:
    """Return until when to retain a record that is removed now, or None to drop it at once.

    `existed_at_recovery` says that the store still held the record when it recovered. A writer
    whose record is removed after the recovery may also have shut down gracefully. It must not
    get work more than `drain_s` seconds after that.
    """
    if availability.failing_since is not None:
        return now + REREGISTRATION_S
    if availability.was_local or availability.recovered_at is None:
        return None
    if now >= availability.recovered_at + REREGISTRATION_S:
        return None
    until = availability.recovered_at + REREGISTRATION_S
    if existed_at_recovery or now > availability.recovered_at + RECONNECT_S:
        return min(until, now + max(0.0, drain_s - DRAIN_MARGIN_S))
    return until
