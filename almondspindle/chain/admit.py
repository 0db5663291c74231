"""Admit a call to its target within the target's limits."""

from almondspindle.controllers.admission.messages import Admit
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class AdmitToTarget:
    """Take a ticket for one request in flight; the terminal gives it back."""

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its ticket, or a refusal when the target has no room."""
        assert call.target and call.service and call.team and call.work
        ask = Admit(call.target, call.service, call.team, call.work, call.chat_id)
        ticket = await self._admission.ask(ask)
        return ticket.map(lambda number: call.with_(ticket=number))
