"""What a router tells the others about the targets it owns, carried on membership probes."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Sums over the targets of one service that one router owns.

    `in_flight` is in requests; `cold` counts the targets in slow start, and `cold_in_flight` is
    the part of `in_flight` that they carry.
    """

    service: ServiceName
    in_flight: int
    targets: int
    cold: int = 0
    cold_in_flight: int = 0
