"""The task that probes one host in each period, and helps others to."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from almondspindle.controllers.membership.messages import (
    BeginLeaving,
    BeginProbePeriod,
    GetHostTable,
    HostTableFetched,
    PickHelpers,
    ProbeAcknowledged,
    ProbeFailed,
    ProbePlan,
    ReceiveProbe,
    RefuseNewWork,
)
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.clock import Clock
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.events import LEAVING_ANNOUNCED
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.logs import emit
from almondspindle.core.members import Gossip, MembershipTimings
from almondspindle.core.roster import Host

MAX_CONCURRENT_ANNOUNCEMENTS = 32

OwnDigests = Callable[[], Awaitable[tuple[ServiceDigest, ...]]]


class ProbeTransport(Protocol):
    """The way to other hosts. An answer that does not come in time is None."""

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Return what `host` answers to `gossip`, or None."""
        ...

    async def probe_for(
        self, helper: Host, gossip: Gossip, host: Host, timeout_s: float
    ) -> Gossip | None:
        """Return what `host` answered to a probe by `helper`, or None."""
        ...


class HostTableClient(Protocol):
    """The way to other hosts' tables."""

    async def fetch(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Return the host table of `host`, or None when it does not come in time."""
        ...


class Prober:
    """Own the sockets of membership: probe, help others to probe, and announce a stop."""

    def __init__(
        self,
        controller: MembershipController,
        link: ProbeTransport,
        tables: HostTableClient,
        timings: MembershipTimings,
        clock: Clock,
        own_digests: OwnDigests,
    ) -> None:
        self._controller = controller
        self._transport = link
        self._table_client = tables
        self._timings = timings
        self._clock = clock
        self._own_digests = own_digests

    async def run(self) -> None:
        """Probe one host in each period until cancelled."""
        while True:
            began_at = self._clock.monotonic()
            plan = await self._controller.request(BeginProbePeriod(await self._own_digests()))
            if plan is not None:
                await self._probe(plan)
            passed_s = self._clock.monotonic() - began_at
            await asyncio.sleep(max(0.0, self._timings.period_s - passed_s))

    async def receive_probe(self, gossip: Gossip) -> Gossip:
        """Answer a peer's probe."""
        return await self._controller.request(ReceiveProbe(gossip))

    async def probe_for_peer(self, gossip: Gossip, name: str, address: str) -> Gossip | None:
        """Probe the host called `name` for a peer that got no answer from it."""
        host = Host(HostName(name), ZoneName(""), address)
        news = await self._controller.request(ReceiveProbe(gossip))
        answer = await self._transport.probe(host, news, self._timings.probe_timeout_s)
        return answer if answer is not None and answer.sender.name == name else None

    async def get_host_table(self, gossip: Gossip) -> Gossip:
        """Answer a peer that fetches the host table."""
        return await self._controller.request(GetHostTable(gossip))

    async def announce_leaving(self) -> None:
        """Tell all live hosts that this one leaves, then refuse new work.

        Waits for their answers, within a bound; a host that misses this hears it from others.
        """
        plans = await self._controller.request(BeginLeaving())
        told = await self._announce(plans)
        self._controller.send(RefuseNewWork())
        emit(LEAVING_ANNOUNCED, told=told, hosts=len(plans))

    async def _probe(self, plan: ProbePlan) -> None:
        sent_at = self._clock.monotonic()
        answer = await self._transport.probe(plan.host, plan.gossip, self._timings.probe_timeout_s)
        if answer is not None and answer.sender.name == plan.host.name:
            self._controller.send(ProbeAcknowledged(plan.host.name, sent_at, answer))
            if plan.fetch_table:
                await self._fetch_table(plan)
            return
        found = await self._probe_by_helpers(plan.host)
        if found is None:
            self._controller.send(ProbeFailed(plan.host.name, sent_at))
        else:
            self._controller.send(ProbeAcknowledged(plan.host.name, sent_at, found))

    async def _fetch_table(self, plan: ProbePlan) -> None:
        timeout_s = self._timings.host_table_timeout_s
        table = await self._table_client.fetch(plan.host, plan.gossip, timeout_s)
        if table is not None:
            self._controller.send(HostTableFetched(table))

    async def _probe_by_helpers(self, host: Host) -> Gossip | None:
        plans = await self._controller.request(PickHelpers(host.name))
        timeout_s = self._timings.indirect_probe_timeout_s
        calls = (self._transport.probe_for(p.host, p.gossip, host, timeout_s) for p in plans)
        answers = await asyncio.gather(*calls)
        return next((answer for answer in answers if answer is not None), None)

    async def _announce(self, plans: Sequence[ProbePlan]) -> int:
        """Return how many of the hosts in `plans` answered within the bound."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_ANNOUNCEMENTS)
        told = 0

        async def tell(plan: ProbePlan) -> None:
            nonlocal told
            async with slots:
                timeout_s = self._timings.probe_timeout_s
                answer = await self._transport.probe(plan.host, plan.gossip, timeout_s)
            told += answer is not None

        tasks = [asyncio.ensure_future(tell(plan)) for plan in plans]
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=self._timings.leave_timeout_s)
            for task in late:
                task.cancel()
        return told
