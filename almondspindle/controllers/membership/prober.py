"""The task that probes one host per period, and probes hosts on behalf of peers."""

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
    """Client that sends probes to other hosts. Both methods return None after the time-out."""

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Send `gossip` to `host` and return the gossip of its acknowledgement, or None."""
        ...

    async def probe_indirectly(
        self, helper: Host, gossip: Gossip, host: Host, timeout_s: float
    ) -> Gossip | None:
        """Have `helper` probe `host`; return the gossip of the acknowledgement, or None."""
        ...


class HostTableClient(Protocol):
    """Client that fetches the host tables of other hosts."""

    async def fetch(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Return the host table of `host`, or None after the time-out or an error."""
        ...


class Prober:
    """Probe other hosts, respond to their probes, and announce a planned stop of this host."""

    def __init__(
        self,
        controller: MembershipController,
        transport: ProbeTransport,
        table_client: HostTableClient,
        timings: MembershipTimings,
        clock: Clock,
        own_digests: OwnDigests,
    ) -> None:
        self._controller = controller
        self._transport = transport
        self._table_client = table_client
        self._timings = timings
        self._clock = clock
        self._own_digests = own_digests

    async def run(self) -> None:
        """Probe one host per period until cancelled."""
        while True:
            began_at = self._clock.monotonic()
            plan = await self._controller.request(BeginProbePeriod(await self._own_digests()))
            if plan is not None:
                await self._probe(plan)
            passed_s = self._clock.monotonic() - began_at
            await asyncio.sleep(max(0.0, self._timings.period_s - passed_s))

    async def receive_probe(self, gossip: Gossip) -> Gossip:
        """Merge the gossip of a peer's probe and return the gossip that acknowledges it."""
        return await self._controller.request(ReceiveProbe(gossip))

    async def probe_for_peer(self, gossip: Gossip, name: str, address: str) -> Gossip | None:
        """Probe the host called `name` on behalf of a peer that got no acknowledgement from it.

        Merge `gossip`, which is the peer's. Return the gossip of the acknowledgement, or None if
        there is none or another host sent it.
        """
        host = Host(HostName(name), ZoneName(""), address)
        own_gossip = await self._controller.request(ReceiveProbe(gossip))
        ack = await self._transport.probe(host, own_gossip, self._timings.probe_timeout_s)
        return ack if ack is not None and ack.sender.name == name else None

    async def get_host_table(self, gossip: Gossip) -> Gossip:
        """Merge the gossip of a peer and return this host's host table for it."""
        return await self._controller.request(GetHostTable(gossip))

    async def announce_leaving(self) -> None:
        """Announce to all hosts that are not dead that this host is leaving, then refuse new work.

        Wait for their acknowledgements, for `leave_timeout_s` at most. A host that misses the
        announcement learns of it by gossip.
        """
        plans = await self._controller.request(BeginLeaving())
        acknowledged = await self._announce(plans)
        self._controller.send(RefuseNewWork())
        emit(LEAVING_ANNOUNCED, told=acknowledged, hosts=len(plans))

    async def _probe(self, plan: ProbePlan) -> None:
        sent_at = self._clock.monotonic()
        ack = await self._transport.probe(plan.host, plan.gossip, self._timings.probe_timeout_s)
        if ack is not None and ack.sender.name == plan.host.name:
            self._controller.send(ProbeAcknowledged(plan.host.name, sent_at, ack))
            if plan.fetch_table:
                await self._fetch_table(plan)
            return
        ack = await self._probe_by_helpers(plan.host)
        if ack is None:
            self._controller.send(ProbeFailed(plan.host.name, sent_at))
        else:
            self._controller.send(ProbeAcknowledged(plan.host.name, sent_at, ack))

    async def _fetch_table(self, plan: ProbePlan) -> None:
        timeout_s = self._timings.host_table_timeout_s
        table = await self._table_client.fetch(plan.host, plan.gossip, timeout_s)
        if table is not None:
            self._controller.send(HostTableFetched(table))

    async def _probe_by_helpers(self, host: Host) -> Gossip | None:
        plans = await self._controller.request(PickHelpers(host.name))
        timeout_s = self._timings.indirect_probe_timeout_s
        calls = (self._transport.probe_indirectly(p.host, p.gossip, host, timeout_s) for p in plans)
        acks = await asyncio.gather(*calls)
        return next((ack for ack in acks if ack is not None), None)

    async def _announce(self, plans: Sequence[ProbePlan]) -> int:
        """Probe the hosts in `plans`; return how many acknowledged within `leave_timeout_s`."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_ANNOUNCEMENTS)
        acknowledged = 0

        async def announce_to(plan: ProbePlan) -> None:
            nonlocal acknowledged
            async with slots:
                timeout_s = self._timings.probe_timeout_s
                ack = await self._transport.probe(plan.host, plan.gossip, timeout_s)
            acknowledged += ack is not None

        tasks = [asyncio.ensure_future(announce_to(plan)) for plan in plans]
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=self._timings.leave_timeout_s)
            for task in late:
                task.cancel()
        return acknowledged
