"""The task that requests the release of this host's targets from their previous owners."""

import asyncio
import random
from typing import Protocol

from almondspindle.controllers.admission.messages import (
    GetPendingHandovers,
    HandoverReported,
    PendingHandover,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.handover import ReleaseRequest, ReleaseResponse
from almondspindle.core.identifiers import HostName
from almondspindle.decisions.jitter import jittered_interval

REQUEST_INTERVAL_S = 0.25


class HandoverClient(Protocol):
    """Client that sends release requests to previous owners."""

    async def request_release(self, address: str, req: ReleaseRequest) -> ReleaseResponse | None:
        """Return which targets the host at `address` has released; None if it does not respond."""
        ...


class HandoverTask:
    """Request the release of targets that previous owners may still admit requests to.

    The requests are repeated until every target is released or its takeover time has passed.
    """

    def __init__(
        self, host: HostName, admission: AdmissionController, client: HandoverClient
    ) -> None:
        self._host = host
        self._admission = admission
        self._client = client
        self._targets_changed = asyncio.Event()

    def targets_changed(self) -> None:
        """Make `run` check for pending handovers; call after `OwnedTargetsChanged` was sent."""
        self._targets_changed.set()

    async def run(self) -> None:
        """Send release requests until cancelled."""
        while True:
            await self._targets_changed.wait()
            self._targets_changed.clear()
            while pending := await self._admission.request(GetPendingHandovers()):
                await asyncio.gather(*(self._request_release(handover) for handover in pending))
                await asyncio.sleep(jittered_interval(REQUEST_INTERVAL_S, random.random()))

    async def _request_release(self, handover: PendingHandover) -> None:
        req = ReleaseRequest(self._host, handover.targets)
        response = await self._client.request_release(handover.previous_owner.address, req)
        if response is not None:
            self._admission.send(HandoverReported(handover.previous_owner.name, response))
