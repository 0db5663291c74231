"""The time of the selection of a target by the placement controller.

With `BENCH_BASELINE` set to a clone of an earlier commit, its controller is measured as well, in
turns with this one, and the ratio of the medians is printed.
"""

import os
import subprocess
import sys
from pathlib import Path

from almondspindle.controllers.placement.messages import AttemptEnded, SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.view.messages import RoutesChanged, TargetsChanged
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.routes import Engine, RouteTable, ServiceSpec
from bench.output import duration_of, percentile, print_figure

TARGETS = 1600
SELECTIONS = 150
ROUNDS = 8
US_PER_S = 1e6
SERVICE = ServiceName("s")
BASELINE = "BENCH_BASELINE"
MEASURE = "from bench.bench_selection import measure; print(*measure())"


def run() -> None:
    """Print the median time of a selection, with and without a shared prompt."""
    own_path = str(Path(__file__).parent.parent)
    baseline = os.environ.get(BASELINE)
    paths = [own_path, baseline] if baseline else [own_path]
    times: dict[str, list[tuple[float, float]]] = {path: [] for path in paths}
    for number in range(ROUNDS):
        for path in paths if number % 2 else reversed(paths):
            times[path].append(_measure_in(path, own_path))
    for kind, label in enumerate(("prompt", "plain")):
        medians = [percentile([each[kind] for each in times[path]], 0.5) for path in paths]
        print_figure(f"select_us_p50_{label}_1600", medians[0] * US_PER_S, "us")
        if baseline:
            print_figure(f"select_us_p50_{label}_1600_baseline", medians[1] * US_PER_S, "us")
            print_figure(f"select_ratio_{label}_1600", medians[0] / medians[1], "ratio")


def _measure_in(path: str, own_path: str) -> tuple[float, float]:
    """Return the medians of a process that imports the package of `path`."""
    env = os.environ | {"PYTHONPATH": os.pathsep.join((path, own_path))}
    command = [sys.executable, "-B", "-c", MEASURE]
    # A process imports the bench from its working directory, and the package from `path`.
    done = subprocess.run(command, env=env, cwd="/", capture_output=True, text=True, check=True)
    prompt, plain = done.stdout.split()
    return float(prompt), float(plain)


def measure() -> tuple[float, float]:
    """Return the median time of a selection with a shared prompt and without one, in seconds."""
    controller = _make_controller()
    medians = []
    for key in ("part", ""):
        times = [
            duration_of(lambda number=number, key=key: _select(controller, key, number))
            for number in range(SELECTIONS)
        ]
        medians.append(percentile(times, 0.5))
    return medians[0], medians[1]


def _make_controller() -> PlacementController:
    cfg = NodeCfg(HostName("h"), ZoneName("z0"), "10.0.0.1", "", "", "", 1, 2, 99, Bounds())
    controller = PlacementController(cfg, ManualClock())
    spec = ServiceSpec(SERVICE, 100, 3.0, 20.0, Engine(48, 765_404, can_copy=True))
    controller.handle(RoutesChanged(RouteTable(1, services={SERVICE: spec})), 0.0)
    records = [
        TargetRecord(
            TargetName(f"t{number}"), SERVICE, f"10.1.{number // 200}.{number % 200}:80",
            ZoneName(f"z{number % 10}"), 48, is_leaving=False, cold_left_s=0.0,
        )
        for number in range(TARGETS)
    ]  # fmt: skip
    controller.handle(TargetsChanged({record.name: record for record in records}), 0.0)
    return controller


def _select(controller: PlacementController, key: str, number: int) -> None:
    selected = controller.handle(SelectTarget(SERVICE, key, f"r-{number}"), 10.0)
    controller.handle(AttemptEnded(selected.ok.ticket, AttemptReport(AttemptEnd.ANSWERED)), 10.0)
