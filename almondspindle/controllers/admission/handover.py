"""The task that asks previous owners whether they have let go of this host's targets."""

import asyncio
import random
from typing import Protocol

from almondspindle.controllers.admission.messages import Awaited, GetAwaited, HandedOver
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.handover import ReleaseAnswer, ReleaseRequest
from almondspindle.core.identifiers import HostName
from almondspindle.decisions.jitter import jittered_interval

ASK_INTERVAL_S = 0.25


class HandoverLink(Protocol):
    """The way to previous owners."""

    async def ask(self, address: str, req: ReleaseRequest) -> ReleaseAnswer | None:
        """Return which targets the host at `address` has let go of; None if it does not answer."""
        ...


class HandoverTask:
    """Ask until every target is handed over or its time of takeover has passed."""

    def __init__(self, host: HostName, admission: AdmissionController, link: HandoverLink) -> None:
        self._host = host
        self._admission = admission
        self._link = link
        self._changed = asyncio.Event()

    def owned_changed(self) -> None:
        """Look for targets to ask for, after the admission controller was told of its targets."""
        self._changed.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while awaited := await self._admission.ask(GetAwaited()):
                await asyncio.gather(*(self._ask(one) for one in awaited))
                await asyncio.sleep(jittered_interval(ASK_INTERVAL_S, random.random()))

    async def _ask(self, awaited: Awaited) -> None:
        req = ReleaseRequest(self._host, awaited.targets)
        answer = await self._link.ask(awaited.previous.address, req)
        if answer is not None:
            self._admission.tell(HandedOver(awaited.previous.name, answer))
