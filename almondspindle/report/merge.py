"""Merge the windows of all hosts and compute the burn rates."""

from collections.abc import Sequence

from almondspindle.adapters.peer.telemetry_messages import HostTelemetry, WindowWire, from_wire
from almondspindle.core.config import ConfigSet, Objectives
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.decisions.burn import Burn, burns_of
from almondspindle.decisions.rolling_windows import WINDOW_SHAPES, Tallies, WindowShape, add_tallies
from almondspindle.report.models import BurnReport, HostCoverage, WindowReport


def make_report(
    config: ConfigSet, answers: Sequence[HostTelemetry], silent: dict[HostName, str]
) -> BurnReport:
    """Return the report over the hosts in `answers`.

    Histograms are merged, because percentiles of single hosts cannot be averaged. `silent` holds
    the hosts that did not respond, with the reason.
    """
    windows = tuple(_window(shape, config, answers) for shape in WINDOW_SHAPES)
    responded = tuple(sorted(response.host for response in answers))
    return BurnReport(config.version, responded, silent, windows)


def _window(
    shape: WindowShape, config: ConfigSet, answers: Sequence[HostTelemetry]
) -> WindowReport:
    total: Tallies = {}
    partial = []
    for response in answers:
        window = _find(response, shape.name)
        if window is None:
            continue
        add_tallies(total, from_wire(window.tallies))
        if window.covered_s < shape.length_s:
            partial.append(HostCoverage(response.host, window.covered_s))
    return WindowReport(shape.name, shape.length_s, _burns(total, config), tuple(partial))


def _find(answer: HostTelemetry, name: str) -> WindowWire | None:
    return next((window for window in answer.windows if window.window == name), None)


def _burns(total: Tallies, config: ConfigSet) -> dict[ServiceName, tuple[Burn, ...]]:
    return {
        service: burns_of(total[service], _objectives(config, service)) for service in sorted(total)
    }


def _objectives(config: ConfigSet, service: ServiceName) -> Objectives:
    configured = config.services.get(service)
    return configured.objectives if configured else Objectives()
