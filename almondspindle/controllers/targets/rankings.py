"""One ranking of targets per service, updated target by target."""

from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.decisions.ranking import MultiProbeRing


class ServiceRankings:
    """The hash rings of all services. The cost of an update depends on the targets that changed."""

    def __init__(self) -> None:
        self._rings: dict[ServiceName, MultiProbeRing] = {}
        self._service_of: dict[TargetName, ServiceName] = {}

    def names(self) -> list[TargetName]:
        """Return the names of all ranked targets."""
        return list(self._service_of)

    def assign(self, target: TargetName, service: ServiceName | None) -> None:
        """Rank `target` among the targets of `service`; remove it if `service` is None."""
        before = self._service_of.get(target)
        if before == service:
            return
        if before is not None:
            self._rings[before].remove(target)
            del self._service_of[target]
        if service is not None:
            self._rings.setdefault(service, MultiProbeRing()).add(target)
            self._service_of[target] = service

    def rank(self, service: ServiceName, key: str, count: int) -> list[TargetName]:
        """Return up to `count` targets of `service` for `key`, best first."""
        ring = self._rings.get(service)
        return ring.rank(key, count) if ring is not None else []
