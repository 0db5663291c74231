"""The controller that owns the reports of the other hosts."""

import random
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.exchange.messages import (
    GetPeersAhead,
    GetReportReceivers,
    IsTopicWatcher,
    PeerAhead,
    ReportReceived,
)
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import HostsChanged
from almondspindle.core.clock import Clock
from almondspindle.core.identifiers import HostName
from almondspindle.core.inventory import Topic
from almondspindle.core.node import NodeCfg
from almondspindle.core.reports import HostReport
from almondspindle.decisions.peer_pull import (
    Peer,
    choose_source,
    is_pull_due,
    is_zone_delegate,
)
from almondspindle.decisions.topic_watchers import is_topic_watcher

REPORT_FANOUT = 8  # hosts that get each report; in a small fleet that is every other host
# A host whose last report is older is assumed to be unreachable: nothing is pulled from it, and it
# isn't counted as a watcher of topics.
REPORT_TTL_S = 2.0


class ExchangeController(Controller):
    """Own the latest report of each other host, and the addresses that reports are sent to.

    The addresses are those of the seeds in the settings until host records arrive. Each change of
    the host records replaces them with the addresses in the records. Senders of reports and the
    seeds in changed settings are added, and stay until the next change of the records.
    """

    def __init__(self, cfg: NodeCfg, clock: Clock, rng: random.Random) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._rng = rng
        self._reports: dict[HostName, tuple[float, HostReport]] = {}
        self._behind_since: dict[Topic, float] = {}
        self._own_address = f"{cfg.ip}:{cfg.peer_port}"
        self._addresses = self._seed_addresses(cfg)

    def _seed_addresses(self, cfg: NodeCfg) -> set[str]:
        return {f"{ip}:{cfg.peer_port}" for ip in cfg.other_hosts} - {self._own_address}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `exchange.messages`, or a change of the settings or the hosts."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._addresses |= self._seed_addresses(msg.cfg)

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        addresses = {record.address for record in msg.hosts.values()}
        if addresses:
            self._addresses = addresses - {self._own_address}

    @handle.register
    def _(self, msg: ReportReceived, now: float) -> None:
        if msg.report.host == self._cfg.host:
            return
        self._reports[msg.report.host] = (now, msg.report)
        self._addresses.add(msg.report.address)

    @handle.register
    def _(self, msg: GetReportReceivers, now: float) -> list[str]:
        addresses = sorted(self._addresses)
        return self._rng.sample(addresses, min(REPORT_FANOUT, len(addresses)))

    @handle.register
    def _(self, msg: IsTopicWatcher, now: float) -> bool:
        return self._is_watcher(msg.topic, self._recent_reports(now))

    @handle.register
    def _(self, msg: GetPeersAhead, now: float) -> list[PeerAhead]:
        reports = self._recent_reports(now)
        sources = (self._pull_source(t, rev, reports, now) for t, rev in msg.revisions.items())
        return [source for source in sources if source is not None]

    def _pull_source(
        self, topic: Topic, revision: int, reports: list[HostReport], now: float
    ) -> PeerAhead | None:
        peers = [_to_peer(report, topic) for report in reports]
        ahead = [peer for peer in peers if peer.revision > revision]
        if not ahead:
            self._behind_since.pop(topic, None)
            return None
        behind_since = self._behind_since.setdefault(topic, now)
        if not is_pull_due(behind_since, self._is_watcher(topic, reports), now):
            return None
        own = self._own_peer()
        is_delegate = is_zone_delegate(own, peers)
        source = choose_source(ahead, own, is_delegate, now - behind_since, self._rng)
        return PeerAhead(topic, source.address, source.revision) if source else None

    def _is_watcher(self, topic: Topic, reports: list[HostReport]) -> bool:
        others = [_to_peer(report, topic) for report in reports if report.reaches_store]
        return is_topic_watcher(topic, self._own_peer(), others)

    def _own_peer(self) -> Peer:
        return Peer(self._cfg.host, self._own_address, self._cfg.zone, self._cfg.link_mbps)

    def _recent_reports(self, now: float) -> list[HostReport]:
        return [report for at, report in self._reports.values() if now - at <= REPORT_TTL_S]


def _to_peer(report: HostReport, topic: Topic) -> Peer:
    revision = report.revisions.get(topic, 0)
    return Peer(report.host, report.address, report.zone, report.link_mbps, revision)
