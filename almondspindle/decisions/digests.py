"""Digests of the hosts of a region, spread by gossip: each message carries some of them.

A digest travels with short ids in place of names, so that many fit into a message; whoever reads
it knows the names from the host table and the configuration.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.core.members import HostDigest, ServiceCount

DIGESTS_PER_MESSAGE = 8
SHORT_ID_SEED = 1
AGE_LIMIT_S = 180.0  # older digests count no more


def short_id(name: str) -> int:
    """Return the 32-bit id that stands for `name` in digests."""
    return xxhash.xxh32_intdigest(name, SHORT_ID_SEED)


def host_digest(host: HostName, stamp: int, services: Iterable[ServiceDigest]) -> HostDigest:
    """Return a host's sums as they travel, `stamp` in seconds of wall time."""
    counts = (ServiceCount(short_id(s.service), s.in_flight, s.targets, s.cold) for s in services)
    return HostDigest(short_id(host), stamp, 0.0, tuple(counts))


@dataclass(slots=True)
class _Known:
    digest: HostDigest
    born_at: float
    sends: int = 0


@dataclass(slots=True)
class DigestTable:
    """The newest digest of each host, with its age. Times are on the monotonic clock."""

    _known: dict[int, _Known] = field(default_factory=dict)

    def merge(self, digests: Iterable[HostDigest], now: float) -> bool:
        """Take in the digests that are newer than the known ones; return whether any was."""
        news = False
        for digest in digests:
            known = self._known.get(digest.host_id)
            if known is None or digest.stamp > known.digest.stamp:
                self._known[digest.host_id] = _Known(digest, now - digest.age_s)
                news = True
        return news

    def take(self, hosts: Iterable[HostName], now: float) -> tuple[HostDigest, ...]:
        """Return digests of `hosts` for one message: those sent least, then the youngest."""
        ids = (short_id(name) for name in hosts)
        known = [self._known[host_id] for host_id in ids if host_id in self._known]
        known.sort(key=lambda k: (k.sends, -k.born_at))
        chosen = known[:DIGESTS_PER_MESSAGE]
        for entry in chosen:
            entry.sends += 1
        return tuple(replace(k.digest, age_s=max(0.0, now - k.born_at)) for k in chosen)

    def by_host(
        self, hosts: Iterable[HostName], services: Iterable[ServiceName], now: float
    ) -> dict[HostName, tuple[ServiceDigest, ...]]:
        """Return the sums of `hosts` that are young enough, with names for ids."""
        names = {short_id(name): name for name in services}
        found = {}
        for host in hosts:
            known = self._known.get(short_id(host))
            if known is not None and now - known.born_at <= AGE_LIMIT_S:
                found[host] = tuple(_named(known.digest, names))
        return found

    def ages(self, hosts: Iterable[HostName], now: float) -> dict[HostName, float]:
        """Return the age in seconds of each known digest of `hosts`."""
        ids = ((host, self._known.get(short_id(host))) for host in hosts)
        return {host: now - known.born_at for host, known in ids if known is not None}

    def forget(self, host: HostName) -> None:
        """Drop the digest of a host that is gone."""
        self._known.pop(short_id(host), None)


def _named(digest: HostDigest, names: dict[int, ServiceName]) -> Iterable[ServiceDigest]:
    for count in digest.services:
        name = names.get(count.service_id)
        if name is not None:
            yield ServiceDigest(name, count.in_flight, count.targets, count.cold)
