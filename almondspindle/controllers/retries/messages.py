"""Messages of the controller of retry budgets."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A first attempt at a request of `service` begins."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class SpendRetry(ControllerRequest[bool]):
    """Ask for one retry out of the budget of `service`."""

    service: ServiceName
