"""A large fleet of hosts that send each other reports in simulated time."""

import random
from collections import defaultdict

from almondspindle.adapters.exchange.datagrams import decode_report, encode_report
from almondspindle.controllers.exchange.messages import (
    GetReportReceivers,
    GetWatchTurn,
    GetZoneRelay,
    OutsideReportReceived,
    ReportReceived,
    ZoneReportReceived,
)
from almondspindle.controllers.exchange.runners import OUTSIDE_REPORT_PERIOD, REPORT_INTERVAL_S
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.placement.messages import PeerLeavingReported, PeerLoadsReported
from almondspindle.controllers.placement.targets import PeerReportTable
from almondspindle.controllers.quarantine.messages import CrashNewsReceived, GetCrashNews
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.controllers.view.messages import (
    HostsChanged,
    PeerContactReported,
    PeerCopiesReported,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.inventory import HostRecord, Revision, Topic
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.decisions.leaving_targets import LeavingTargets
from tests.standins.revisions import at

TARGET = TargetName("t")
AGES_S = {"targets": 0.7, "zones": 0.9}
MESSAGES = {
    HostReport: ReportReceived,
    ZoneReport: ZoneReportReceived,
    OutsideReport: OutsideReportReceived,
}


class SimulatedHost:
    """The exchange and quarantine controllers of one host, and the loads that it passes on."""

    def __init__(self, number: int, zone: str) -> None:
        link_mbps = 100.0 if number < 8 else 5.0
        self.cfg = NodeCfg(
            HostName(f"h{number}"), ZoneName(zone), f"10.0.{number // 200}.{number % 200}", "", "",
            "", 7340, 7341, 99, Bounds(), link_mbps=link_mbps,
        )  # fmt: skip
        self.address = f"{self.cfg.ip}:7340"
        self.loads = PeerReportTable()
        self.is_up = True
        self.now = 0.0
        self.exchange = ExchangeController(
            self.cfg,
            ManualClock(),
            random.Random(number),
            self._on_loads,
            self._on_contact,
            on_crashes=self._on_crashes,
            on_leaving=self._on_leaving,
        )
        self.quarantine = QuarantineController(self.cfg, ManualClock())
        self.routes_revision = at(1)
        self.routes_known_from = at(1)  # the list that was read last
        self.routes_changed = at(1)  # the last change that is known
        self.confirmed_at = 0.0  # when the store last confirmed the copy of the routes
        self.leaving = LeavingTargets()

    def _on_loads(self, loads: PeerLoadsReported) -> None:
        self.loads.replace(loads, self.now)

    def _on_contact(self, msg: PeerContactReported | PeerCopiesReported) -> None:
        if isinstance(msg, PeerCopiesReported):
            self.note_copies(msg)

    def note_copies(self, msg: PeerCopiesReported) -> None:
        """Take over the age of a peer's copy of the routes, as the view does."""
        age_s = msg.ages_s.get(Topic.ROUTES)
        last_change = msg.revisions[Topic.ROUTES]
        position = max(last_change, msg.known_from.get(Topic.ROUTES, last_change))
        if age_s is not None and position <= self.routes_revision:
            self.confirmed_at = max(self.confirmed_at, self.now - age_s)

    def _on_crashes(self, msg: CrashNewsReceived) -> None:
        self.quarantine.handle(msg, self.now)

    def _on_leaving(self, msg: PeerLeavingReported) -> None:
        for life in msg.leaving:
            self.leaving.add(life, self.now)

    def restart(self) -> None:
        """Lose what the host knows of crashes."""
        self.quarantine = QuarantineController(self.cfg, ManualClock())

    def record(self) -> HostRecord:
        return HostRecord(self.cfg.host, self.address, self.cfg.zone, self.cfg.link_mbps)


class SimulatedFleet:
    """Hosts in `zones` that send each other reports, as their reporters do, in simulated time."""

    def __init__(self, count: int, zones: str) -> None:
        self.hosts = [SimulatedHost(n, zones[n % len(zones)]) for n in range(count)]
        self.by_address = {host.address: host for host in self.hosts}
        records = {host.cfg.host: host.record() for host in self.hosts}
        for host in self.hosts:
            host.exchange.handle(HostsChanged(records), 0.0)
            host.quarantine.handle(HostsChanged(records), 0.0)
        self.now = 0.0
        self.ticks = 0
        self.crossing_bytes = 0
        self.reaches_store = True

    def run(self, seconds: float) -> None:
        """Let every host send reports, one of its own requests in flight, for some seconds."""
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            self.now += REPORT_INTERVAL_S
            self.ticks += 1
            for host in self.hosts:
                host.now = self.now
            for host in self.hosts:
                if host.is_up:
                    self._report(host)

    def _report(self, host: SimulatedHost) -> None:
        own = HostReport(
            host.cfg.host, host.address, self.ticks, host.cfg.zone, host.cfg.link_mbps,
            self.reaches_store, revisions={"routes": host.routes_changed},
            known_from=self._known_from(host),
            ages_s={**AGES_S, "routes": self.now - host.confirmed_at}, in_flight={TARGET: 1},
            crashes=host.quarantine.handle(GetCrashNews(), self.now),
            leaving=host.leaving.news({}, self.now),
        )  # fmt: skip
        self._send(host, host.exchange.handle(GetReportReceivers(), self.now), own)
        relay = host.exchange.handle(GetZoneRelay(own), self.now)
        if relay is not None:
            self._send(host, relay.zone_receivers, relay.zone_report)
            if self.ticks % OUTSIDE_REPORT_PERIOD == 0:
                self._send(host, relay.outside_receivers, relay.outside_report)

    def _known_from(self, host: SimulatedHost) -> dict[str, Revision]:
        is_later = host.routes_known_from > host.routes_changed
        return {"routes": host.routes_known_from} if is_later else {}

    def _send(self, sender: SimulatedHost, addresses, report) -> None:
        data = encode_report(report)
        for address in addresses:
            receiver = self.by_address[address]
            if receiver.cfg.zone != sender.cfg.zone:
                self.crossing_bytes += len(data)
            if receiver.is_up:
                message = MESSAGES[type(report)](decode_report(data))
                receiver.exchange.handle(message, self.now)

    def watchers(self, topic: Topic) -> dict[str, int]:
        """Return the number of hosts in each zone that watch `topic`."""
        counts: dict[str, int] = defaultdict(int)
        for host in self.hosts:
            if host.is_up and host.exchange.handle(GetWatchTurn(topic), self.now):
                counts[host.cfg.zone] += 1
        return counts
