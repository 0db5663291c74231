"""The tasks that send reports and fetch topics from peers."""

import asyncio
import math
from collections.abc import Callable, Sequence
from itertools import count
from typing import Protocol

from almondspindle.adapters.platform.base import StoreError
from almondspindle.controllers.exchange.messages import (
    GetPeersAhead,
    GetReportReceivers,
    GetZoneRelay,
    PeerAhead,
    PullEnded,
)
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.placement.messages import (
    GetFailures,
    GetLeavingNews,
    GetLoads,
    GetPacedCounts,
)
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.quarantine.messages import GetCrashNews
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.controllers.rollouts.messages import GetRolloutProgress
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.controllers.view.messages import (
    GetRevisions,
    GetSnapshot,
    GetStoreContact,
    IsStoreReachable,
    SnapshotReceived,
)
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.events import TOPIC_PULLED
from almondspindle.core.identifiers import TargetName
from almondspindle.core.inventory import Snapshot, Topic
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Result
from almondspindle.core.reports import AttemptCounts, HostReport, Report
from almondspindle.core.rollouts import RolloutProgress
from almondspindle.decisions.copy_age import TOPICS_WITH_BOUND

REPORT_INTERVAL_S = 0.2  # loads change within the duration of a request, about 0.3 s
PULL_CHECK_INTERVAL_S = 0.15


# A delegate sends the loads of other zones with every second report. Each zone has two delegates.
OUTSIDE_REPORT_PERIOD = 2


class Reporter:
    """Send this host's report to some other hosts every `REPORT_INTERVAL_S` seconds.

    A delegate of a zone also sends reports on zones.
    """

    def __init__(
        self,
        cfg: NodeCfg,
        placement: PlacementController,
        quarantine: QuarantineController,
        view: ViewController,
        exchange: ExchangeController,
        rollouts: RolloutsController,
        send: Callable[[Sequence[str], Report], None],
    ) -> None:
        self._cfg = cfg
        self._placement = placement
        self._quarantine = quarantine
        self._view = view
        self._exchange = exchange
        self._rollouts = rollouts
        self._send = send

    async def run(self) -> None:
        """Send reports until cancelled."""
        for number in count(1):
            receivers = await self._exchange.request(GetReportReceivers())
            if receivers:
                report = await self._build_report(number)
                self._send(receivers, report)
                await self._send_zone_reports(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _send_zone_reports(self, own: HostReport) -> None:
        relay = await self._exchange.request(GetZoneRelay(own))
        if relay is None:
            return
        self._send(relay.zone_receivers, relay.zone_report)
        if own.number % OUTSIDE_REPORT_PERIOD == 0:
            self._send(relay.outside_receivers, relay.outside_report)

    async def _build_report(self, number: int) -> HostReport:
        revisions = await self._view.request(GetRevisions())
        loads = await self._placement.request(GetLoads())
        failures = await self._placement.request(GetFailures())
        return HostReport(
            host=self._cfg.host,
            address=f"{self._cfg.ip}:{self._cfg.peer_port}",
            number=number,
            zone=self._cfg.zone,
            link_mbps=self._cfg.link_mbps,
            reaches_store=await self._view.request(IsStoreReachable()),
            contact=await self._view.request(GetStoreContact()),
            revisions={str(topic): revisions[topic].last_change for topic in self._cfg.topics},
            ages_s={
                str(topic): revisions[topic].age_s
                for topic in TOPICS_WITH_BOUND
                if math.isfinite(revisions[topic].age_s)
            },
            known_from={
                str(topic): revisions[topic].known_from
                for topic in self._cfg.topics
                if revisions[topic].known_from > revisions[topic].last_change
            },
            in_flight=dict(loads),
            failures=dict(failures),
            crashes=await self._quarantine.request(GetCrashNews()),
            leaving=await self._placement.request(GetLeavingNews()),
            rollouts=await self._get_rollouts(),
            paced=await self._get_paced(),
        )

    async def _get_paced(self) -> dict[TargetName, AttemptCounts]:
        counts = await self._placement.request(GetPacedCounts())
        return dict(counts)

    async def _get_rollouts(self) -> tuple[RolloutProgress, ...]:
        if not self._cfg.serves_rollouts:
            return ()
        return await self._rollouts.request(GetRolloutProgress())


class SnapshotClient(Protocol):
    """Client that fetches snapshots of topics from peers."""

    async def fetch(
        self, address: str, base: Snapshot, response_timeout_s: float
    ) -> Result[Snapshot, StoreError]:
        """Return a newer snapshot of the topic of `base` at the peer with peer address `address`.

        `base` is this host's copy of the topic. The peer's response must begin within
        `response_timeout_s` seconds.
        """
        ...


class Puller:
    """Fetch topics from peers whose revisions have been higher than this host's for some time.

    Each topic is fetched by a task of its own, so that a large manifest on a slow link doesn't
    delay the news of a target that is leaving.
    """

    def __init__(
        self, view: ViewController, exchange: ExchangeController, client: SnapshotClient
    ) -> None:
        self._view = view
        self._exchange = exchange
        self._client = client
        self._pulling: set[Topic] = set()

    async def run(self) -> None:
        """Check for peers that are ahead every `PULL_CHECK_INTERVAL_S` seconds until cancelled."""
        self._pulling.clear()
        async with asyncio.TaskGroup() as pulls:
            while True:
                await asyncio.sleep(PULL_CHECK_INTERVAL_S)
                copies = await self._view.request(GetRevisions())
                idle = {t: copy for t, copy in copies.items() if t not in self._pulling}
                current = {topic: copy.current for topic, copy in idle.items()}
                ages_s = {topic: copy.age_s for topic, copy in idle.items()}
                for peer in await self._exchange.request(GetPeersAhead(current, ages_s)):
                    self._pulling.add(peer.topic)
                    pulls.create_task(self._pull(peer))

    async def _pull(self, peer: PeerAhead) -> None:
        base = await self._view.request(GetSnapshot(peer.topic))
        result = await self._client.fetch(peer.address, base, peer.response_timeout_s)
        is_silent = result.is_error() and result.error.is_silent
        self._exchange.send(PullEnded(peer.address, is_silent))
        emit(
            TOPIC_PULLED,
            topic=peer.topic,
            peer=peer.address,
            era=base.revision.era,
            revision=base.revision.number,
            found_era=result.ok.revision.era if result.is_ok() else None,
            found=result.ok.revision.number if result.is_ok() else None,
            reason=None if result.is_ok() else result.error.message,
        )
        if result.is_ok():
            self._view.send(SnapshotReceived(result.ok, peer.address))
        self._pulling.discard(peer.topic)
