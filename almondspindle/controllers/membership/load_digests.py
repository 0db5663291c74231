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


class LoadDigestTracker:
    """Collect and hand out load digests. Part of the membership controller's state."""

    def __init__(self, host: HostName, zone: ZoneName) -> None:
        self._own_host = host
        self._own_zone = zone
        self._own_digest = load_digest(host, ())
        self._host_digests = DigestTable()
        self._zone_digests = DigestTable()

    def set_own(self, services: Iterable[ServiceDigest]) -> None:
        """Set this host's sums over the targets it owns."""
        self._own_digest = load_digest(self._own_host, services)

    def merge(self, hosts: Iterable[LoadDigest], zones: Iterable[LoadDigest], now: float) -> bool:
        """Take in a peer's digests and return whether any was news."""
        host_news = self._host_digests.merge(hosts, now)
        zone_news = self._zone_digests.merge(zones, now)
        return host_news or zone_news

    def host_digests(self, mates: Iterable[HostName], now: float) -> tuple[LoadDigest, ...]:
        """Return the digests for a message to a host of the own zone."""
        return (
            self._own_digest,
            *self._host_digests.select_for_message(mates, DIGESTS_PER_MESSAGE - 1, now),
        )

    def zone_digests(
        self, mates: Iterable[HostName], zones: Iterable[ZoneName], now: float
    ) -> tuple[LoadDigest, ...]:
        """Return the zones' sums for any message: the own zone's, and some of `zones`."""
        self._host_digests.merge([self._own_digest], now)
        own = self._host_digests.sum_digests(self._own_zone, [*mates, self._own_host], now)
        return (
            own,
            *self._zone_digests.select_for_message(zones, ZONE_DIGESTS_PER_MESSAGE - 1, now),
        )

    def by_host(
        self,
        mates: Iterable[HostName],
        zones: Iterable[ZoneName],
        services: Iterable[ServiceName],
        now: float,
    ) -> dict[HostName, tuple[ServiceDigest, ...]]:
        """Return the digests of `mates`, and under a marked name the sum of each of `zones`."""
        found = self._host_digests.by_service_name(mates, services, now)
        sums = self._zone_digests.by_service_name(zones, services, now)
        found |= {ZONE_PREFIX + zone: digests for zone, digests in sums.items()}
        return {HostName(name): digests for name, digests in found.items()}

    def ages(self, mates: Iterable[HostName], zones: Iterable[ZoneName], now: float) -> list[float]:
        """Return the ages in seconds of all digests in use."""
        return self._host_digests.ages(mates, now) + self._zone_digests.ages(zones, now)

    def remove(self, host: HostName) -> None:
        """Drop the digest of a host that is gone."""
        self._host_digests.remove(host)
