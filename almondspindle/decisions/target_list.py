"""The list of targets, kept consistent across hosts by gossiped changes and a checksum."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from almondspindle.core.identifiers import TargetName
from almondspindle.core.members import TargetEntry
from almondspindle.core.roster import Target

MIN_TOMBSTONES_KEPT = 1_000  # with up to this many tombstones, none is pruned

TargetsByName = dict[TargetName, Target]


def target_checksum(target: Target) -> int:
    """Return the 32-bit checksum of one target."""
    parts = (target.name, target.service, target.zone, target.address, target.state)
    return xxhash.xxh32_intdigest("\x00".join(parts).encode())


@dataclass(slots=True)
class TargetList:
    """The targets that this host knows and the stamps of their last changes.

    A stamp without a target is the tombstone of a removed target. `checksum` is the XOR of the
    checksums of all targets, so that a change updates it in constant time. `targets` is replaced
    on each change, never modified in place.
    """

    targets: TargetsByName = field(default_factory=dict)
    stamps: dict[TargetName, int] = field(default_factory=dict)
    checksum: int = 0
    _last_list: TargetsByName | None = None

    def merge(self, records: Iterable[TargetEntry]) -> list[TargetEntry]:
        """Apply and return the records that are newer than the known ones and change a target."""
        applied = [record for record in records if self._is_newer(record)]
        if applied:
            self.targets = dict(self.targets)
        for record in applied:
            self._apply(record)
        if len(self.stamps) > MIN_TOMBSTONES_KEPT + 2 * len(self.targets):
            self._prune_tombstones()
        return applied

    def apply_list(self, listed: TargetsByName, stamp: int) -> list[TargetEntry]:
        """Apply the platform's list as read at `stamp` and return the changes.

        The list is compared with the one read before it, not with the current targets. It may be
        older than a change received from another host and must not undo that change.
        """
        before = self.targets if self._last_list is None else self._last_list
        self._last_list = listed
        return self.merge(self._differences(before, listed, stamp))

    def replace_all(self, listed: TargetsByName, stamp: int) -> list[TargetEntry]:
        """Replace all targets by the platform's list and return the changes.

        This also undoes changes that were received from other hosts.
        """
        self._last_list = None
        return self.apply_list(listed, stamp)

    def discard_last_list(self) -> None:
        """Drop the last list read. Call this when the host no longer reads the list regularly."""
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
        """Return a record newer than the known one, even if another host's clock is ahead."""
        return TargetEntry(name, target, max(stamp, self.stamps.get(name, 0) + 1))

    def _is_newer(self, record: TargetEntry) -> bool:
        if self.targets.get(record.name) == record.target:
            return False
        return record.stamp > self.stamps.get(record.name, 0)

    def _prune_tombstones(self) -> None:
        """Drop the older half of the tombstones. Hosts no longer send records of these targets."""
        tombstones = [name for name in self.stamps if name not in self.targets]
        tombstones.sort(key=self.stamps.__getitem__)
        for name in tombstones[: len(tombstones) // 2]:
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
    """Since when this host's checksum has matched no peer's; None after a match."""

    since: float | None = None

    def compare(self, own_sum: int, peer_sum: int, now: float) -> None:
        """Compare with a peer's checksum. A single match ends the mismatch."""
        if own_sum == peer_sum:
            self.since = None
        elif self.since is None:
            self.since = now

    def has_lasted(self, now: float, limit_s: float) -> bool:
        """Return whether no peer's checksum has matched for `limit_s` seconds."""
        return self.since is not None and now - self.since >= limit_s
