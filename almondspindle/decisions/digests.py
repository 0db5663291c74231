"""Load digests for gossip: digests of single hosts within a zone, and of zones between zones.

In a fleet of 1,100 hosts the digests of all of them can't reach every host within seconds at a few
hundred bytes per message. So the digest of a host is sent only within its zone. Each host sums up
the digests of its own zone, and the most recent total of each zone is gossiped to all zones.
Digests carry short ids instead of names to save space.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import ServiceName
from almondspindle.core.members import LoadDigest, ServiceLoadSummary

DIGESTS_PER_MESSAGE = 12
ZONE_DIGESTS_PER_MESSAGE = 2
ID_BITS = 16  # service ids; with a handful of services a collision is very unlikely
SHORT_ID_SEED = 1
MIN_AGE_DIFFERENCE_S = 0.5  # smaller differences are due to the rounding of ages in messages
MAX_AGE_S = 180.0  # older digests are ignored


def short_id(name: str) -> int:
    """Return the 32-bit id of a host or zone in digests."""
    return xxhash.xxh32_intdigest(name.encode(), SHORT_ID_SEED)


def service_id(name: str) -> int:
    """Return the 16-bit id of a service in digests."""
    return short_id(name) >> (32 - ID_BITS)


def load_digest(subject: str, services: Iterable[ServiceDigest]) -> LoadDigest:
    """Return the digest of host `subject` in the form sent in gossip."""
    loads = (
        ServiceLoadSummary(service_id(s.service), s.in_flight, s.targets, s.cold) for s in services
    )
    return LoadDigest(short_id(subject), 0.0, tuple(loads))


@dataclass(slots=True)
class _Entry:
    digest: LoadDigest
    created_at: float
    sends: int = 0


@dataclass(slots=True)
class DigestTable:
    """The most recent digest of each host or zone. Times are in seconds on the monotonic clock."""

    _entries: dict[int, _Entry] = field(default_factory=dict)

    def merge(self, digests: Iterable[LoadDigest], now: float) -> bool:
        """Store the digests that are more recent than the known ones; return whether any was."""
        changed = False
        for digest in digests:
            created_at = now - digest.age_s
            known = self._entries.get(digest.subject_id)
            if known is None or created_at > known.created_at + MIN_AGE_DIFFERENCE_S:
                self._entries[digest.subject_id] = _Entry(digest, created_at)
                changed = True
        return changed

    def select_for_message(
        self, subjects: Iterable[str], limit: int, now: float
    ) -> tuple[LoadDigest, ...]:
        """Return up to `limit` digests of `subjects` for one message.

        The least often sent come first, and among those the most recent.
        """
        entries = self._current_entries(subjects, now)
        entries.sort(key=lambda entry: (entry.sends, -entry.created_at))
        for entry in entries[:limit]:
            entry.sends += 1
        return tuple(_with_current_age(entry, now) for entry in entries[:limit])

    def sum_digests(self, subject: str, parts: Iterable[str], now: float) -> LoadDigest:
        """Return the sum of the digests of `parts` as digest of `subject`, with their mean age."""
        entries = self._current_entries(parts, now)
        sums: dict[int, list[int]] = defaultdict(lambda: [0, 0, 0])
        for entry in entries:
            for load in entry.digest.services:
                for index, value in enumerate((load.in_flight, load.targets, load.cold)):
                    sums[load.service_id][index] += value
        age_s = sum(now - entry.created_at for entry in entries) / max(1, len(entries))
        loads = tuple(ServiceLoadSummary(service, *values) for service, values in sums.items())
        return LoadDigest(short_id(subject), age_s, loads)

    def by_service_name(
        self, subjects: Iterable[str], services: Iterable[ServiceName], now: float
    ) -> dict[str, tuple[ServiceDigest, ...]]:
        """Return the current digests of `subjects`, with service names instead of ids."""
        names = {service_id(name): name for name in services}
        found = {}
        for subject in subjects:
            for entry in self._current_entries([subject], now):
                found[subject] = tuple(_named_services(entry.digest, names))
        return found

    def ages(self, subjects: Iterable[str], now: float) -> list[float]:
        """Return the ages in seconds of the current digests of `subjects`."""
        return [now - entry.created_at for entry in self._current_entries(subjects, now)]

    def remove(self, subject: str) -> None:
        """Remove the digest of `subject`, if there is one."""
        self._entries.pop(short_id(subject), None)

    def _current_entries(self, subjects: Iterable[str], now: float) -> list[_Entry]:
        found = (self._entries.get(short_id(subject)) for subject in subjects)
        return [
            entry for entry in found if entry is not None and now - entry.created_at <= MAX_AGE_S
        ]


def _with_current_age(entry: _Entry, now: float) -> LoadDigest:
    return replace(entry.digest, age_s=max(0.0, now - entry.created_at))


def _named_services(digest: LoadDigest, names: dict[int, ServiceName]) -> Iterable[ServiceDigest]:
    for load in digest.services:
        name = names.get(load.service_id)
        if name is not None:
            yield ServiceDigest(name, load.in_flight, load.targets, load.cold)
