"""The task that asks previous owners whether they have let go of this host's targets."""

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
    """The way to previous owners."""

    async def request_release(self, address: str, req: ReleaseRequest) -> ReleaseResponse | None:
        """Return which targets the host at `address` has let go of; None if it does not answer."""
        ...


class HandoverTask:
    """Ask until every target is handed over or its time of takeover has passed."""

    def __init__(
        self, host: HostName, admission: AdmissionController, link: HandoverClient
    ) -> None:
        self._host = host
        self._admission = admission
        self._client = link
        self._targets_changed = asyncio.Event()

    def targets_changed(self) -> None:
        """Look for targets to ask for, after the admission controller was told of its targets."""
        self._targets_changed.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._targets_changed.wait()
            self._targets_changed.clear()
            while awaited := await self._admission.request(GetPendingHandovers()):
                await asyncio.gather(*(self._request_release(one) for one in awaited))
                await asyncio.sleep(jittered_interval(REQUEST_INTERVAL_S, random.random()))

    async def _request_release(self, awaited: PendingHandover) -> None:
        req = ReleaseRequest(self._host, awaited.targets)
        answer = await self._client.request_release(awaited.previous_owner.address, req)
        if answer is not None:
            self._admission.send(HandoverReported(awaited.previous_owner.name, answer))
