"""The controller that totals the measurements of a host's entries over rolling windows."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.telemetry.messages import AddTallies, GetWindows, WindowTotal
from almondspindle.core.clock import Clock
from almondspindle.decisions.rolling_windows import WINDOW_SHAPES, RollingWindow


class TelemetryController(Controller):
    """Own a router's rolling windows.

    A restart loses them. `WindowTotal.covered_s` shows how much of each window is covered.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._started_at = clock.monotonic()
        self._windows = [RollingWindow(shape) for shape in WINDOW_SHAPES]

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `telemetry.messages`."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: AddTallies, now: float) -> None:
        for window in self._windows:
            window.add(msg.tallies, now)

    @handle.register
    def _(self, msg: GetWindows, now: float) -> tuple[WindowTotal, ...]:
        age_s = now - self._started_at
        return tuple(
            WindowTotal(w.shape.name, min(age_s, w.shape.length_s), w.total(now))
            for w in self._windows
        )
