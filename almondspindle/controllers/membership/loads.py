"""The load digests of one host: of the hosts of its zone, and the sums of the other zones."""

from collections.abc import Iterable

from almondspindle.core.digest import ServiceDigest
from almondspindle.core.identifiers import HostName, ServiceName, ZoneName
from almondspindle.core.members import LoadDigest
from almondspindle.decisions.digests import (
    DIGESTS_PER_MESSAGE,
    ZONE_DIGESTS_PER_MESSAGE,
    DigestTable,
    load_digest,
)

ZONE_PREFIX = "zone:"  # marks a zone's sum among the hosts' digests


class LoadDesk:
    """Collect and hand out load digests. Part of the membership controller's state."""

    def __init__(self, host: HostName, zone: ZoneName) -> None:
        self._host = host
        self._zone = zone
        self._own = load_digest(host, ())
        self._hosts = DigestTable()
        self._zones = DigestTable()

    def set_own(self, services: Iterable[ServiceDigest]) -> None:
        """Set this host's sums over the targets it owns."""
        self._own = load_digest(self._host, services)

    def merge(self, hosts: Iterable[LoadDigest], zones: Iterable[LoadDigest], now: float) -> bool:
        """Take in a peer's digests and return whether any was news."""
        host_news = self._hosts.merge(hosts, now)
        zone_news = self._zones.merge(zones, now)
        return host_news or zone_news

    def for_zone_mate(self, mates: Iterable[HostName], now: float) -> tuple[LoadDigest, ...]:
        """Return the digests for a message to a host of the own zone."""
        return (self._own, *self._hosts.select_for_message(mates, DIGESTS_PER_MESSAGE - 1, now))

    def for_any(
        self, mates: Iterable[HostName], zones: Iterable[ZoneName], now: float
    ) -> tuple[LoadDigest, ...]:
        """Return the zones' sums for any message: the own zone's, and some of `zones`."""
        self._hosts.merge([self._own], now)
        own = self._hosts.sum_digests(self._zone, [*mates, self._host], now)
        return (own, *self._zones.select_for_message(zones, ZONE_DIGESTS_PER_MESSAGE - 1, now))

    def by_host(
        self,
        mates: Iterable[HostName],
        zones: Iterable[ZoneName],
        services: Iterable[ServiceName],
        now: float,
    ) -> dict[HostName, tuple[ServiceDigest, ...]]:
        """Return the digests of `mates`, and under a marked name the sum of each of `zones`."""
        found = self._hosts.by_service_name(mates, services, now)
        sums = self._zones.by_service_name(zones, services, now)
        found |= {ZONE_PREFIX + zone: digests for zone, digests in sums.items()}
        return {HostName(name): digests for name, digests in found.items()}

    def ages(self, mates: Iterable[HostName], zones: Iterable[ZoneName], now: float) -> list[float]:
        """Return the ages in seconds of all digests in use."""
        return self._hosts.ages(mates, now) + self._zones.ages(zones, now)

    def forget(self, host: HostName) -> None:
        """Drop the digest of a host that is gone."""
        self._hosts.remove(host)
