"""The controller that totals an entry's measurements until they are pushed to a router."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.telemetry.messages import RestoreTallies, TakeTallies
from almondspindle.core.clock import Clock
from almondspindle.core.telemetry import RequestMeasurement, ServiceTally
from almondspindle.decisions.rolling_windows import Tallies, add_tallies


class CollectorController(Controller):
    """Own the tallies of all requests since the last `TakeTallies`."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._tallies: Tallies = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a measurement or a message from `telemetry.messages`."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: RequestMeasurement, now: float) -> None:
        self._tallies.setdefault(msg.service, ServiceTally()).add(msg)

    @handle.register
    def _(self, msg: TakeTallies, now: float) -> Tallies:
        taken = self._tallies
        self._tallies = {}
        return taken

    @handle.register
    def _(self, msg: RestoreTallies, now: float) -> None:
        add_tallies(self._tallies, msg.tallies)
