"""Telemetry messages between entries, routers and the report command.

Histograms are sent in the compressed encoding of the HdrHistogram library.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from almondspindle.controllers.telemetry.messages import WindowTotal
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.core.telemetry import ServiceTally, new_histogram
from almondspindle.decisions.rolling_windows import Tallies


@dataclass(frozen=True, slots=True)
class WireTally:
    """The wire form of `ServiceTally`, with the service's name and encoded histograms."""

    service: ServiceName
    requests: int
    failed: int
    commits: int
    commits_failed: int
    first_token: bytes
    gaps: bytes


@dataclass(frozen=True, slots=True)
class PushTelemetry:
    """Push an entry's tallies to a router."""

    tallies: tuple[WireTally, ...]


@dataclass(frozen=True, slots=True)
class TelemetryAccepted:
    """Confirm that the receiver has accepted the pushed tallies."""


@dataclass(frozen=True, slots=True)
class GetTelemetry:
    """Request the tallies of a router over each of its windows."""


@dataclass(frozen=True, slots=True)
class WireWindow:
    """The tallies over one window.

    `covered_s` is the time within the window that the router has been running, in seconds.
    """

    window: str
    covered_s: float
    tallies: tuple[WireTally, ...]


@dataclass(frozen=True, slots=True)
class HostTelemetry:
    """The tallies of one host over each of its windows."""

    host: HostName
    windows: tuple[WireWindow, ...]


def tallies_to_wire(tallies: Tallies) -> tuple[WireTally, ...]:
    """Return the wire form of `tallies`."""
    return tuple(
        WireTally(
            service,
            tally.requests,
            tally.failed,
            tally.commits,
            tally.commits_failed,
            tally.first_token.encode(),
            tally.gaps.encode(),
        )
        for service, tally in tallies.items()
    )


def tallies_from_wire(wire: Sequence[WireTally]) -> Tallies:
    """Return the tallies in `wire`."""
    return {
        item.service: ServiceTally(
            item.requests,
            item.failed,
            item.commits,
            item.commits_failed,
            _decode_histogram(item.first_token),
            _decode_histogram(item.gaps),
        )
        for item in wire
    }


def host_telemetry(host: HostName, totals: Sequence[WindowTotal]) -> HostTelemetry:
    """Return the message with the tallies of `host` over each window."""
    windows = (WireWindow(t.window, t.covered_s, tallies_to_wire(t.tallies)) for t in totals)
    return HostTelemetry(host, tuple(windows))


def _decode_histogram(data: bytes) -> HdrHistogram:
    histogram = new_histogram()
    histogram.decode_and_add(data)
    return histogram
