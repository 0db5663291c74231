"""Messages to the durations controller."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.outcomes import Outcome
from almondspindle.core.routes import Route
from almondspindle.decisions.shutdown import StopSchedule


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request of the route named `route` got its complete response after `took_s` seconds."""

    route: str
    took_s: float


@dataclass(frozen=True, slots=True)
class CheckTimeLeft(ControllerRequest[Outcome[None]]):
    """Request whether a request of `route` that begins now can finish in the stop of `schedule`.

    It ends at `deadline_at` in any case, in seconds on the monotonic clock.
    """

    route: Route
    deadline_at: float
    schedule: StopSchedule
