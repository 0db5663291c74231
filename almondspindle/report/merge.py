"""Merge the windows of all hosts and work out the burn."""

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


def make_report(
    config: ConfigSet, answers: Sequence[HostTelemetry], silent: dict[HostName, str]
) -> BurnReport:
    """Return the report over the hosts in `answers`. Histograms are merged, never averaged."""
    windows = tuple(_window(shape, config, answers) for shape in WINDOW_SHAPES)
    answered = tuple(sorted(answer.host for answer in answers))
    return BurnReport(config.version, answered, silent, windows)


def _window(
    shape: WindowShape, config: ConfigSet, answers: Sequence[HostTelemetry]
) -> WindowReport:
    total: Tallies = {}
    partial = []
    for answer in answers:
        wire = _find(answer, shape.name)
        if wire is None:
            continue
        add_tallies(total, tallies_from_wire(wire.tallies))
        if wire.covered_s < shape.length_s:
            partial.append(HostCoverage(answer.host, wire.covered_s))
    return WindowReport(shape.name, shape.length_s, _burns(total, config), tuple(partial))


def _find(answer: HostTelemetry, name: str) -> WireWindow | None:
    return next((wire for wire in answer.windows if wire.window == name), None)


def _burns(total: Tallies, config: ConfigSet) -> dict[ServiceName, tuple[Burn, ...]]:
    return {
        service: burns_of(total[service], _objectives(config, service)) for service in sorted(total)
    }


def _objectives(config: ConfigSet, service: ServiceName) -> Objectives:
    found = config.services.get(service)
    return found.objectives if found else Objectives()
