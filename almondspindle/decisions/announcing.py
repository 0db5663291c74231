"""When a host writes its record again that the store had accepted.

What the store has accepted may be lost: it may come back from an older copy, and operators may
remove a record by mistake. So a host compares its copy of the hosts' records with its own one.

The load that this answers: all hosts of a large fleet that have started in the seconds that were
lost write again after the store's return. They share a rate of writes.
"""

from dataclasses import dataclass

SPREAD_PER_HOST_S = 0.005
# A copy that is this much older than the write, and of the same era, would have the record.
PROPAGATION_S = 5.0


@dataclass(frozen=True, slots=True)
class Listing:
    """What a host's copy says of the host's own record.

    `era` is that of the copy, and `host_count` the number of its records. `is_listed` is set if the
    record is stored as the host wrote it, or if nothing has been read yet.
    """

    is_listed: bool
    era: int
    host_count: int


@dataclass(frozen=True, slots=True)
class WrittenRecord:
    """A record that the store accepted in `era`, at `at` in seconds on the monotonic clock.

    `missing_since` is when it was first missing from the copy, None if it isn't.
    """

    era: int
    at: float
    missing_since: float | None = None


def rewrite_at(
    written: WrittenRecord, listing: Listing, random_number: float, now: float
) -> float | None:
    """Return when to write the record again, or None if it is listed.

    The result is in seconds on the monotonic clock.
    `random_number`, from 0 to 1, was drawn when the record was written.
    """
    if listing.is_listed:
        return None
    missing_since = now if written.missing_since is None else written.missing_since
    spread_s = random_number * SPREAD_PER_HOST_S * listing.host_count
    if listing.era > written.era:
        return missing_since + spread_s
    return max(missing_since, written.at + PROPAGATION_S) + spread_s
