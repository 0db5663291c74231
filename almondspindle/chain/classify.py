"""Check that a call's team may use its service, and determine the kind of work."""

from almondspindle.controllers.configuration.messages import FindService
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome
from almondspindle.decisions.classify import classify


class ClassifyWork:
    """Set the kind of work, which determines how failed attempts are handled."""

    def __init__(self, configuration: ConfigurationController) -> None:
        self._configuration = configuration

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its kind of work, or a refusal if the service may not be used."""
        assert call.team is not None and call.service is not None
        service = await self._configuration.request(FindService(call.team, call.service))
        return service.map(lambda found: call.copy_with(work=classify(found.kind, call.method)))
