"""Refuse calls that crash targets."""

from almondspindle.controllers.quarantine.messages import CheckRequest
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.core.calls import Call
from almondspindle.core.events import REQUEST_DIVERTED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import QUARANTINED, MetricSender
from almondspindle.core.outcomes import Error, Ok, Outcome
from almondspindle.decisions.content import content_id


class RejectQuarantined:
    """Refuse a call whose content is in quarantine, before a target or a place in line is used."""

    def __init__(self, quarantine: QuarantineController, metrics: MetricSender) -> None:
        self._quarantine = quarantine
        self._metrics = metrics

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with the id of its content and the targets to avoid, or a refusal."""
        call = call.copy_with(content_id=content_id(call))
        checked = await self._quarantine.request(CheckRequest(call.content_ids))
        if checked.is_error():
            self._metrics.count(QUARANTINED)
            return Error(checked.error)
        if checked.ok:
            emit(REQUEST_DIVERTED, request_id=call.request_id, targets=sorted(checked.ok))
            call = call.copy_with(avoided_addresses=checked.ok)
        return Ok(call)
