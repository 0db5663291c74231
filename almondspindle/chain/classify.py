"""Find the service of a call, whether the team may use it, and the kind of work it asks for."""

from almondspindle.controllers.configuration.messages import FindService
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome
from almondspindle.decisions.classify import classify


class ClassifyWork:
    """Set the kind of work, which decides how failed attempts are treated."""

    def __init__(self, configuration: ConfigurationController) -> None:
        self._configuration = configuration

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its kind of work, or a refusal for an unknown service."""
        assert call.team is not None and call.service is not None
        found = await self._configuration.request(FindService(call.team, call.service))
        return found.map(lambda service: call.copy_with(work=classify(service.kind, call.method)))
