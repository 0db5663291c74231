"""Load digests that one host keeps: of the hosts of its zone, and the totals of other zones."""

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

ZONE_PREFIX = "zone:"  # distinguishes the totals of zones from the digests of hosts


class LoadDigestTracker:
    """Store received load digests and select those for the next messages.

    Part of the membership controller's state. Times are in seconds on the monotonic clock.
    """

    def __init__(self, host: HostName, zone: ZoneName) -> None:
        self._own_host = host
        self._own_zone = zone
        self._own_digest = load_digest(host, ())
        self._host_digests = DigestTable()
        self._zone_digests = DigestTable()

    def set_own(self, services: Iterable[ServiceDigest]) -> None:
        """Set this host's own digest from the load totals of the targets that it owns."""
        self._own_digest = load_digest(self._own_host, services)

    def merge(self, hosts: Iterable[LoadDigest], zones: Iterable[LoadDigest], now: float) -> bool:
        """Store the digests received from a peer; return whether any replaced a stored one."""
        hosts_updated = self._host_digests.merge(hosts, now)
        zones_updated = self._zone_digests.merge(zones, now)
        return hosts_updated or zones_updated

    def host_digests(self, zone_peers: Iterable[HostName], now: float) -> tuple[LoadDigest, ...]:
        """Return the digests of single hosts for a message to a host of the same zone."""
        return (
            self._own_digest,
            *self._host_digests.select_for_message(zone_peers, DIGESTS_PER_MESSAGE - 1, now),
        )

    def zone_digests(
        self, zone_peers: Iterable[HostName], zones: Iterable[ZoneName], now: float
    ) -> tuple[LoadDigest, ...]:
        """Return the zone totals for a message to any host: of this zone and some of `zones`."""
        self._host_digests.merge([self._own_digest], now)
        own = self._host_digests.sum_digests(self._own_zone, [*zone_peers, self._own_host], now)
        return (
            own,
            *self._zone_digests.select_for_message(zones, ZONE_DIGESTS_PER_MESSAGE - 1, now),
        )

    def by_host(
        self,
        zone_peers: Iterable[HostName],
        zones: Iterable[ZoneName],
        services: Iterable[ServiceName],
        now: float,
    ) -> dict[HostName, tuple[ServiceDigest, ...]]:
        """Return the digests of `zone_peers` and the totals of `zones`, for `services` only.

        The key of a zone's total is the zone's name with `ZONE_PREFIX`.
        """
        found = self._host_digests.by_service_name(zone_peers, services, now)
        totals = self._zone_digests.by_service_name(zones, services, now)
        found |= {ZONE_PREFIX + zone: digests for zone, digests in totals.items()}
        return {HostName(name): digests for name, digests in found.items()}

    def ages(
        self, zone_peers: Iterable[HostName], zones: Iterable[ZoneName], now: float
    ) -> list[float]:
        """Return the ages in seconds of the digests of `zone_peers` and `zones`."""
        return self._host_digests.ages(zone_peers, now) + self._zone_digests.ages(zones, now)

    def remove(self, host: HostName) -> None:
        """Remove the digest of a host that is no longer a member."""
        self._host_digests.remove(host)
