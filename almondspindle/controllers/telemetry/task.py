"""The controller that keeps a router's windows of what its host's entries measured."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.telemetry.messages import AddTallies, GetWindows, WindowTotal
from almondspindle.core.clock import Clock
from almondspindle.decisions.rolling_windows import WINDOW_SHAPES, RollingWindow


class TelemetryController(Controller):
    """Own the windows. A restart loses them, which the report tells by `covered_s`."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._started_at = clock.monotonic()
        self._windows = [RollingWindow(shape) for shape in WINDOW_SHAPES]

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message; see the module of messages."""
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
