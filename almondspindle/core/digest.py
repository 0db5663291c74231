"""The load of one host's targets by service. In gossip it is sent as a `LoadDigest`."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """Totals over the targets of one service that one host owns.

    `in_flight` counts requests, `targets` all targets and `cold` those in slow start.
    `cold_in_flight` is the part of `in_flight` at cold targets. It is not sent in gossip, so it is
    0 in digests of other hosts.
    """

    service: ServiceName
    in_flight: int
    targets: int
    cold: int = 0
    cold_in_flight: int = 0
