"""Merge the windows of all hosts and compute the burn rates."""

from collections.abc import Sequence

from almondspindle.adapters.peer.telemetry_messages import (
    HostTelemetry,
    WireWindow,
    tallies_from_wire,
)
from almondspindle.core.config import ConfigSet, Objectives
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.decisions.burn import Burn, burns_of
from almondspindle.decisions.rolling_windows import WINDOW_SHAPES, Tallies, WindowShape, add_tallies
from almondspindle.report.models import BurnReport, HostCoverage, WindowReport


def build_report(
    config: ConfigSet, responses: Sequence[HostTelemetry], unresponsive: dict[HostName, str]
) -> BurnReport:
    """Return the report over the hosts in `responses`.

    Histograms are merged, because percentiles of single hosts cannot be averaged. `unresponsive`
    maps each host that did not respond to the reason.
    """
    windows = tuple(_build_window_report(shape, config, responses) for shape in WINDOW_SHAPES)
    responded = tuple(sorted(response.host for response in responses))
    return BurnReport(config.version, responded, unresponsive, windows)


def _build_window_report(
    shape: WindowShape, config: ConfigSet, responses: Sequence[HostTelemetry]
) -> WindowReport:
    total: Tallies = {}
    partial = []
    for response in responses:
        window = _find_window(response, shape.name)
        if window is None:
            continue
        add_tallies(total, tallies_from_wire(window.tallies))
        if window.covered_s < shape.length_s:
            partial.append(HostCoverage(response.host, window.covered_s))
    return WindowReport(shape.name, shape.length_s, _compute_burns(total, config), tuple(partial))


def _find_window(response: HostTelemetry, name: str) -> WireWindow | None:
    return next((window for window in response.windows if window.window == name), None)


def _compute_burns(total: Tallies, config: ConfigSet) -> dict[ServiceName, tuple[Burn, ...]]:
    return {
        service: burns_of(total[service], _objectives_of(config, service))
        for service in sorted(total)
    }


def _objectives_of(config: ConfigSet, service: ServiceName) -> Objectives:
    configured = config.services.get(service)
    return configured.objectives if configured else Objectives()
