"""Load summaries that routers send to each other on membership probes."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Totals over the targets of one service that one router owns.

    `in_flight` counts requests, `targets` all targets and `cold` those in slow start.
    `cold_in_flight` is the part of `in_flight` at cold targets.
    """

    service: ServiceName
    in_flight: int
    targets: int
    cold: int = 0
    cold_in_flight: int = 0
