"""Admit a call to its target within the target's limits."""

from almondspindle.controllers.admission.messages import Admit, ReleaseTicket
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class AdmitToTarget:
    """Reserve a place at the target for the request; the terminal releases the ticket.

    This must be the last filter of its chain: a filter after it could refuse the call, and then
    nothing would release the ticket.
    """

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its ticket, or a refusal if the target has no room."""
        assert call.target and call.service and call.team and call.work
        request = Admit(
            call.target, call.service, call.team, call.work, call.chat_id, call.others_declined
        )
        ticket = await self._admission.request_reservation(request, self._release)
        return ticket.map(lambda number: call.copy_with(ticket=number))

    def _release(self, ticket: Outcome[int]) -> None:
        if ticket.is_ok():
            self._admission.send(ReleaseTicket(ticket.ok))
