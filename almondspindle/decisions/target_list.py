"""The list of targets, kept alike on all hosts by news of single changes and a checksum."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from almondspindle.core.identifiers import TargetName
from almondspindle.core.members import TargetEntry
from almondspindle.core.roster import Target

MIN_TOMBSTONES_KEPT = 1_000  # removed targets whose stamps are kept at the least

TargetsByName = dict[TargetName, Target]


def target_checksum(target: Target) -> int:
    """Return the 32-bit checksum of one target."""
    parts = (target.name, target.service, target.zone, target.address, target.state)
    return xxhash.xxh32_intdigest("\x00".join(parts).encode())


@dataclass(slots=True)
class TargetList:
    """The targets known here, the stamps of their last changes, and what the list showed.

    `sum` is the exclusive or of the checksums of all targets, so that one change costs one step.
    `targets` is replaced, never changed in place.
    """

    targets: TargetsByName = field(default_factory=dict)
    stamps: dict[TargetName, int] = field(default_factory=dict)
    checksum: int = 0
    _last_list: TargetsByName | None = None

    def merge(self, records: Iterable[TargetEntry]) -> list[TargetEntry]:
        """Take in the records that are news here, and return them."""
        news = [record for record in records if self._is_newer(record)]
        if news:
            self.targets = dict(self.targets)
        for record in news:
            self._apply(record)
        if len(self.stamps) > MIN_TOMBSTONES_KEPT + 2 * len(self.targets):
            self._prune_tombstones()
        return news

    def apply_list(self, listed: TargetsByName, stamp: int) -> list[TargetEntry]:
        """Take in the platform's list as read at `stamp` and return what changed.

        A reading is compared with the one before it, not with what others told: this host's
        reading may be older than theirs, and must not undo it.
        """
        before = self.targets if self._last_list is None else self._last_list
        self._last_list = listed
        return self.merge(self._differences(before, listed, stamp))

    def replace_all(self, listed: TargetsByName, stamp: int) -> list[TargetEntry]:
        """Take in the platform's list whole, whatever others told, and return what changed."""
        self._last_list = None
        return self.apply_list(listed, stamp)

    def discard_last_list(self) -> None:
        """Drop the last reading, as this host no longer reads the list at each interval."""
        self._last_list = None

    def _differences(
        self, before: TargetsByName, after: TargetsByName, stamp: int
    ) -> list[TargetEntry]:
        if before is after:
            return []
        changed = [self._record(n, t, stamp) for n, t in after.items() if before.get(n) != t]
        removed = [self._record(name, None, stamp) for name in before if name not in after]
        return changed + removed

    def _record(self, name: TargetName, target: Target | None, stamp: int) -> TargetEntry:
        """Return a record above what is known, also when another reader's clock is ahead."""
        return TargetEntry(name, target, max(stamp, self.stamps.get(name, 0) + 1))

    def _is_newer(self, record: TargetEntry) -> bool:
        if self.targets.get(record.name) == record.target:
            return False
        return record.stamp > self.stamps.get(record.name, 0)

    def _prune_tombstones(self) -> None:
        """Drop the older stamps of removed targets; nobody tells of them any more."""
        removed = [name for name in self.stamps if name not in self.targets]
        removed.sort(key=self.stamps.__getitem__)
        for name in removed[: len(removed) // 2]:
            del self.stamps[name]

    def _apply(self, record: TargetEntry) -> None:
        old = self.targets.pop(record.name, None)
        if old is not None:
            self.checksum ^= target_checksum(old)
        if record.target is not None:
            self.targets[record.name] = record.target
            self.checksum ^= target_checksum(record.target)
        self.stamps[record.name] = record.stamp


@dataclass(slots=True)
class ChecksumMismatch:
    """How long the checksum of this host's list has matched no other host's."""

    since: float | None = None

    def compare(self, own_sum: int, peer_sum: int, now: float) -> None:
        """Note a peer's checksum. One match ends the disagreement."""
        if own_sum == peer_sum:
            self.since = None
        elif self.since is None:
            self.since = now

    def has_lasted(self, now: float, limit_s: float) -> bool:
        """Return whether no peer has matched for `limit_s` seconds."""
        return self.since is not None and now - self.since >= limit_s
