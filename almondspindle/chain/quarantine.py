"""Refuse calls whose prompts crash targets."""

from almondspindle.controllers.quarantine.messages import CheckPrompt
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.core.calls import Call
from almondspindle.core.metrics import QUARANTINED, MetricSender
from almondspindle.core.outcomes import Error, Ok, Outcome


class RejectQuarantined:
    """Refuse a call with prompt parts in quarantine, before a target or a place in line is used."""

    def __init__(self, quarantine: QuarantineController, metrics: MetricSender) -> None:
        self._quarantine = quarantine
        self._metrics = metrics

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call, or a refusal."""
        parts = frozenset(call.shared_parts)
        if not parts:
            return Ok(call)
        checked = await self._quarantine.request(CheckPrompt(parts))
        if checked.is_error():
            self._metrics.count(QUARANTINED)
            return Error(checked.error)
        return Ok(call)
