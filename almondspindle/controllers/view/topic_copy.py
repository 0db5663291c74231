"""A host's copy of one topic of the platform's records."""

import math
from dataclasses import dataclass, field, replace

from almondspindle.controllers.view.history import RecordHistory
from almondspindle.controllers.view.messages import TopicRevision
from almondspindle.core.events import RECORD_RETAINED, RECORD_UNREADABLE
from almondspindle.core.inventory import (
    NO_REVISION,
    Record,
    RecordValue,
    Revision,
    Topic,
    UnreadableRecord,
)
from almondspindle.core.logs import emit

MAX_LOGGED_NAME_LENGTH = 255


@dataclass(slots=True)
class TopicCopy:
    """The records of one topic, and the store revisions of this copy and its last known change.

    All changes from the revision `known_from` on are known. This host received the last one at
    `changed_at`, the store confirmed at `confirmed_at` that there was no later one, and the first
    copy of its era was read at `era_since`, all in seconds on the monotonic clock.
    `retained_until` maps the names of records that are missing from the store to the time, in
    seconds on the monotonic clock, until which they are still used. For those in `final` a peer
    that reaches the store has decided the time.
    """

    revision: Revision = NO_REVISION
    last_change: Revision = NO_REVISION
    known_from: Revision = NO_REVISION
    changed_at: float = 0.0
    confirmed_at: float = -math.inf
    era_since: float = 0.0
    records: dict[str, Record] = field(default_factory=dict)
    retained_until: dict[str, float] = field(default_factory=dict)
    final: set[str] = field(default_factory=set)
    history: RecordHistory = field(default_factory=RecordHistory)

    def describe(self, now: float) -> TopicRevision:
        """Return the position and the age of this copy."""
        return TopicRevision(
            current=self.revision,
            last_change=self.last_change,
            unchanged_s=now - self.changed_at,
            age_s=now - self.confirmed_at,
            era_for_s=now - self.era_since,
            records=len(self.records),
            retained=len(self.retained_until),
            known_from=self.known_from,
        )

    def includes(self, last_change: Revision, known_from: Revision) -> bool:
        """Return whether this copy has all that a peer's has, which changed at `last_change` last.

        The peer knows of all changes from `known_from` on.
        """
        return last_change <= self.revision and known_from <= self.revision

    def stores(self, name: str, value: RecordValue) -> bool:
        """Return whether the store has `value` under `name`, as far as this copy tells."""
        record = self.records.get(name)
        return record is not None and name not in self.retained_until and record.value == value

    def set_record(self, topic: Topic, record: Record) -> None:
        """Replace the record of that name in this copy of `topic`."""
        is_unreadable = isinstance(record.value, UnreadableRecord)
        if is_unreadable and record is not self.records.get(record.name):
            log_unreadable(topic, record)
        self.retained_until.pop(record.name, None)
        self.records[record.name] = record
        if not is_unreadable:  # it would displace versions of sound records
            self.history.add(record)

    def remove_record(self, topic: Topic, name: str, until: float | None, now: float) -> None:
        """Remove a record from this copy of `topic`, or retain it until the time `until`."""
        if name not in self.records:
            return
        if until is None:
            self.retained_until.pop(name, None)
            del self.records[name]
        elif name not in self.retained_until:
            self.retained_until[name] = until
            emit(RECORD_RETAINED, topic=topic, name=name, used_for_s=round(until - now, 3))

    def remaining_retention(self, now: float) -> dict[str, float]:
        """Return for how many seconds each retained record is still used."""
        return {name: max(0.0, until - now) for name, until in self.retained_until.items()}


def renumber(copy: TopicCopy, record: Record, revision: Revision) -> Record:
    """Return `record`, read at the store's `revision`, with a revision that fits this copy.

    A record that is new to this copy, but names a revision that the copy includes, gets that of the
    read; peers would take it for unchanged. An unreadable one that is read again keeps its own.
    """
    known = copy.records.get(record.name)
    if known is not None and known.raw == record.raw:
        return known if isinstance(known.value, UnreadableRecord) else record
    if record.revision > copy.revision or copy.revision == NO_REVISION:
        return record
    return replace(record, revision=revision)


def log_unreadable(topic: Topic, record: Record) -> None:
    """Log why `record` can't be used, with its name shortened."""
    name = record.name[:MAX_LOGGED_NAME_LENGTH]
    reason = record.value.reason if isinstance(record.value, UnreadableRecord) else ""
    emit(RECORD_UNREADABLE, topic=topic, name=name, revision=record.revision.number, reason=reason)
