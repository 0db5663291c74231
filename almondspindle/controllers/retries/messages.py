"""Messages of the controller of retry budgets."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """The first attempt of a request to `service` starts."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class SpendRetry(ControllerRequest[bool]):
    """Spend one retry from the budget of `service`; the response says whether it allowed one."""

    service: ServiceName
