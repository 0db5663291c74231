"""Digests of load, spread by gossip: those of single hosts within a zone, sums between zones.

A fleet of 1,100 hosts can't hear from each of them within seconds at a few hundred bytes a
message. So a host's digest stays in its zone; each host sums up its own zone, and the youngest
sum of each zone travels on to all others. A digest travels with short ids in place of names.
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
ID_BITS = 16  # service ids; a handful of services hardly ever share one
SHORT_ID_SEED = 1
MIN_AGE_DIFFERENCE_S = 0.5  # a smaller difference of ages is rounding on the way
MAX_AGE_S = 180.0  # older digests count no more


def short_id(name: str) -> int:
    """Return the 32-bit id that stands for a host or zone in digests."""
    return xxhash.xxh32_intdigest(name.encode(), SHORT_ID_SEED)


def service_id(name: str) -> int:
    """Return the 16-bit id that stands for a service in digests."""
    return short_id(name) >> (32 - ID_BITS)


def load_digest(subject: str, services: Iterable[ServiceDigest]) -> LoadDigest:
    """Return the sums of a host as they travel."""
    counts = (
        ServiceLoadSummary(service_id(s.service), s.in_flight, s.targets, s.cold) for s in services
    )
    return LoadDigest(short_id(subject), 0.0, tuple(counts))


@dataclass(slots=True)
class _Entry:
    digest: LoadDigest
    created_at: float
    sends: int = 0


@dataclass(slots=True)
class DigestTable:
    """The youngest digest of each subject. Times are in seconds on the monotonic clock."""

    _entries: dict[int, _Entry] = field(default_factory=dict)

    def merge(self, digests: Iterable[LoadDigest], now: float) -> bool:
        """Take in the digests that are younger than the known ones; return whether any was."""
        news = False
        for digest in digests:
            born_at = now - digest.age_s
            known = self._entries.get(digest.subject_id)
            if known is None or born_at > known.created_at + MIN_AGE_DIFFERENCE_S:
                self._entries[digest.subject_id] = _Entry(digest, born_at)
                news = True
        return news

    def select_for_message(
        self, subjects: Iterable[str], limit: int, now: float
    ) -> tuple[LoadDigest, ...]:
        """Return digests of `subjects` for one message: those sent least, then the youngest."""
        known = self._current_entries(subjects, now)
        known.sort(key=lambda k: (k.sends, -k.created_at))
        for entry in known[:limit]:
            entry.sends += 1
        return tuple(_with_current_age(entry, now) for entry in known[:limit])

    def sum_digests(self, subject: str, parts: Iterable[str], now: float) -> LoadDigest:
        """Return the sum over `parts` as the digest of `subject`, with their mean age."""
        known = self._current_entries(parts, now)
        sums: dict[int, list[int]] = defaultdict(lambda: [0, 0, 0])
        for entry in known:
            for c in entry.digest.services:
                for place, value in enumerate((c.in_flight, c.targets, c.cold)):
                    sums[c.service_id][place] += value
        age_s = sum(now - entry.created_at for entry in known) / max(1, len(known))
        counts = tuple(ServiceLoadSummary(number, *values) for number, values in sums.items())
        return LoadDigest(short_id(subject), age_s, counts)

    def by_service_name(
        self, subjects: Iterable[str], services: Iterable[ServiceName], now: float
    ) -> dict[str, tuple[ServiceDigest, ...]]:
        """Return the sums of `subjects` that are young enough, with names for ids."""
        names = {service_id(name): name for name in services}
        found = {}
        for subject in subjects:
            for entry in self._current_entries([subject], now):
                found[subject] = tuple(_named_services(entry.digest, names))
        return found

    def ages(self, subjects: Iterable[str], now: float) -> list[float]:
        """Return the ages in seconds of the known digests of `subjects`."""
        return [now - entry.created_at for entry in self._current_entries(subjects, now)]

    def remove(self, subject: str) -> None:
        """Drop the digest of a subject that is gone."""
        self._entries.pop(short_id(subject), None)

    def _current_entries(self, subjects: Iterable[str], now: float) -> list[_Entry]:
        found = (self._entries.get(short_id(subject)) for subject in subjects)
        return [k for k in found if k is not None and now - k.created_at <= MAX_AGE_S]


def _with_current_age(entry: _Entry, now: float) -> LoadDigest:
    return replace(entry.digest, age_s=max(0.0, now - entry.created_at))


def _named_services(digest: LoadDigest, names: dict[int, ServiceName]) -> Iterable[ServiceDigest]:
    for count in digest.services:
        name = names.get(count.service_id)
        if name is not None:
            yield ServiceDigest(name, count.in_flight, count.targets, count.cold)
