"""Send a call to its target and pass the answer on."""

from typing import Protocol

from almondspindle.controllers.admission.messages import Release
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import AnswerSink, Call, Finished


class TargetLink(Protocol):
    """The way to targets."""

    async def send(self, call: Call, sink: AnswerSink, now: float) -> Finished:
        """Send `call` to its target once and write the answer into `sink`."""
        ...


class SendToTarget:
    """The owner's terminal: one attempt, then the ticket goes back."""

    def __init__(self, targets: TargetLink, admission: AdmissionController) -> None:
        self._targets = targets
        self._admission = admission

    async def finish(self, call: Call, sink: AnswerSink, now: float) -> Finished:
        """Return how the attempt ended. The ticket is given back also on cancellation."""
        assert call.ticket is not None
        try:
            return await self._targets.send(call, sink, now)
        finally:
            self._admission.tell(Release(call.ticket))
