"""What a router tells the others about the targets it owns, carried on membership probes."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Sums over the targets of one service that one router owns.

    `in_flight` is in requests; `cold` counts the targets in slow start.
    """

    service: ServiceName
    in_flight: int
    targets: int
    cold: int = 0
