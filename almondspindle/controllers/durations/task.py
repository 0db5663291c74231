"""The controller that measures how long the requests of each route take on this host."""

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.durations.messages import CheckTimeLeft, RequestCompleted
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Outcome
from almondspindle.decisions.time_left import RouteDuration, add_duration, check_time_left

MAX_ROUTES = 4096


class DurationsController(Controller):
    """Own the durations of requests by route, of the routes that were used last."""

    on_exception = OnException.RESET

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.reset()

    def reset(self) -> None:
        """Forget all durations."""
        self._durations: OrderedDict[str, RouteDuration] = OrderedDict()

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `durations.messages`."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: RequestCompleted, now: float) -> None:
        self._durations[msg.route] = add_duration(self._durations.get(msg.route), msg.took_s)
        self._durations.move_to_end(msg.route)
        if len(self._durations) > MAX_ROUTES:
            self._durations.popitem(last=False)

    @handle.register
    def _(self, msg: CheckTimeLeft, now: float) -> Outcome[None]:
        duration = self._durations.get(msg.route.name)
        return check_time_left(msg.route, duration, msg.deadline_at, msg.schedule, now)
