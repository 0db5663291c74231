"""The controller of the retry budgets of all services."""

from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.retries.messages import RequestStarted, SpendRetry
from almondspindle.controllers.targets.messages import ConfigChanged
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet, Policy
from almondspindle.core.identifiers import ServiceName
from almondspindle.decisions.retry_budget import RetryBudget, add_request, spend_retry


class RetriesController(Controller):
    """Own one retry budget per service.

    A budget is created at the service's first request, and removed when the configuration no
    longer has the service.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._config = ConfigSet()
        self._budgets: dict[ServiceName, RetryBudget] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `retries.messages`, or a change of the configuration."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: ConfigChanged, now: float) -> None:
        self._config = msg.config
        self._budgets = {
            name: budget for name, budget in self._budgets.items() if name in msg.config.services
        }

    @handle.register
    def _(self, msg: RequestStarted, now: float) -> None:
        service = self._config.services.get(msg.service)
        share = (service.policy if service else Policy()).retry_budget
        self._budgets[msg.service] = add_request(self._budget(msg.service, now), share, now)

    @handle.register
    def _(self, msg: SpendRetry, now: float) -> bool:
        budget = self._budget(msg.service, now)
        spent = spend_retry(budget, now)
        self._budgets[msg.service] = spent or budget
        return spent is not None

    def _budget(self, service: ServiceName, now: float) -> RetryBudget:
        return self._budgets.get(service, RetryBudget(updated_at=now))
