"""Admit a call to its target within the target's limits."""

import asyncio

from almondspindle.controllers.admission.messages import Admit, ReleaseTicket
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class AdmitToTarget:
    """Take a ticket for one request in flight; the terminal gives it back.

    This is the last filter of its chain, so that nothing can fail between ticket and terminal.
    """

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its ticket, or a refusal when the target has no room."""
        assert call.target and call.service and call.team and call.work
        ask = Admit(
            call.target, call.service, call.team, call.work, call.chat_id, call.others_declined
        )
        asked = asyncio.ensure_future(self._admission.request(ask))
        try:
            ticket = await asyncio.shield(asked)
        except asyncio.CancelledError:
            # The ticket may be granted after the caller has gone; it goes back at once.
            asked.add_done_callback(self._release)
            raise
        return ticket.map(lambda number: call.copy_with(ticket=number))

    def _release(self, asked: "asyncio.Future[Outcome[int]]") -> None:
        if not asked.cancelled() and asked.result().is_ok():
            self._admission.send(ReleaseTicket(asked.result().ok))
