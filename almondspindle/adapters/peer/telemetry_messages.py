"""Telemetry as it travels between entries, routers and the report.

Histograms travel in the compressed encoding of the HdrHistogram library.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from almondspindle.controllers.telemetry.messages import WindowTotal
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.core.telemetry import ServiceTally, new_histogram
from almondspindle.decisions.rolling_windows import Tallies


@dataclass(frozen=True, slots=True)
class TallyWire:
    """One service's sums; histograms are encoded."""

    service: ServiceName
    requests: int
    failed: int
    commits: int
    commits_failed: int
    first_token: bytes
    gaps: bytes


@dataclass(frozen=True, slots=True)
class PushTelemetry:
    """Sums that an entry hands to a router."""

    tallies: tuple[TallyWire, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The receiver has what it was handed."""


@dataclass(frozen=True, slots=True)
class GetTelemetry:
    """Ask a router for its windows."""


@dataclass(frozen=True, slots=True)
class WindowWire:
    """The sums over one window; `covered_s` is the part of it that the router has seen."""

    window: str
    covered_s: float
    tallies: tuple[TallyWire, ...]


@dataclass(frozen=True, slots=True)
class HostTelemetry:
    """All windows of one host."""

    host: HostName
    windows: tuple[WindowWire, ...]


def to_wire(tallies: Tallies) -> tuple[TallyWire, ...]:
    """Return `tallies` in the form that travels."""
    return tuple(
        TallyWire(
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


def from_wire(wire: Sequence[TallyWire]) -> Tallies:
    """Return the sums in `wire`."""
    return {
        item.service: ServiceTally(
            item.requests,
            item.failed,
            item.commits,
            item.commits_failed,
            _decoded(item.first_token),
            _decoded(item.gaps),
        )
        for item in wire
    }


def host_telemetry(host: HostName, totals: Sequence[WindowTotal]) -> HostTelemetry:
    """Return the windows of `host` in the form that travels."""
    windows = (WindowWire(t.window, t.covered_s, to_wire(t.tallies)) for t in totals)
    return HostTelemetry(host, tuple(windows))


def _decoded(data: bytes) -> HdrHistogram:
    histogram = new_histogram()
    histogram.decode_and_add(data)
    return histogram
