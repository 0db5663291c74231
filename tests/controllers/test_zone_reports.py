"""Loads and changes that reach all hosts of a large fleet through the delegates of its zones."""

import random
from collections import defaultdict

import pytest

from almondspindle.adapters.exchange.datagrams import decode_report, encode_report
from almondspindle.controllers.exchange.messages import (
    GetPeersAhead,
    GetReportReceivers,
    GetZoneRelay,
    IsTopicWatcher,
    OutsideReportReceived,
    ReportReceived,
    ZoneReportReceived,
)
from almondspindle.controllers.exchange.runners import OUTSIDE_REPORT_PERIOD, REPORT_INTERVAL_S
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.placement.messages import PeerLoadsReported
from almondspindle.controllers.placement.targets import PeerReportTable
from almondspindle.controllers.view.messages import HostsChanged
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.inventory import HostRecord, Topic
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.decisions.topic_watchers import WATCHERS_PER_TOPIC

TARGET = TargetName("t")
MESSAGES = {
    HostReport: ReportReceived,
    ZoneReport: ZoneReportReceived,
    OutsideReport: OutsideReportReceived,
}


class SimulatedHost:
    """The exchange controller of one host, and the loads that it passes on to the placement."""

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
            self.cfg, ManualClock(), random.Random(number), self._on_loads
        )
        self.routes_revision = 1

    def _on_loads(self, loads: PeerLoadsReported) -> None:
        self.loads.replace(loads, self.now)

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
            self.reaches_store, revisions={"routes": host.routes_revision}, in_flight={TARGET: 1},
        )  # fmt: skip
        self._send(host, host.exchange.handle(GetReportReceivers(), self.now), own)
        relay = host.exchange.handle(GetZoneRelay(own), self.now)
        if relay is not None:
            self._send(host, relay.zone_receivers, relay.zone_report)
            if self.ticks % OUTSIDE_REPORT_PERIOD == 0:
                self._send(host, relay.outside_receivers, relay.outside_report)

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
            if host.is_up and host.exchange.handle(IsTopicWatcher(topic), self.now):
                counts[host.cfg.zone] += 1
        return counts


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_every_host_knows_nearly_all_loads(count, zones):
    fleet = SimulatedFleet(count, zones)
    fleet.run(3.0)
    known = [host.loads.in_flight(TARGET, fleet.now) for host in fleet.hosts]
    assert max(known) <= count - 1
    assert min(known) >= 0.75 * (count - 1)
    assert sum(known) / len(known) >= 0.9 * (count - 1)


def test_bytes_between_zones_do_not_grow_with_the_number_of_hosts():
    crossing = []
    for count in (80, 320):
        fleet = SimulatedFleet(count, "abcd")
        fleet.run(3.0)
        crossing.append(fleet.crossing_bytes / fleet.now)
    # Only the rare reports that hosts send to other zones themselves grow with the fleet.
    assert crossing[1] < 4 * crossing[0]
    assert crossing[0] < 20_000


def test_loads_arrive_after_the_delegates_of_a_zone_are_lost():
    fleet = SimulatedFleet(80, "abcd")
    fleet.run(2.0)
    for host in fleet.hosts[:8]:  # those with fast links, two in each zone
        host.is_up = False
    fleet.run(12.0)
    known = [host.loads.in_flight(TARGET, fleet.now) for host in fleet.hosts[8:]]
    assert sum(known) / len(known) >= 0.9 * 71


def test_a_change_reaches_the_delegates_of_each_zone_and_then_its_hosts():
    fleet = SimulatedFleet(80, "abcd")
    fleet.run(2.0)
    fleet.hosts[0].routes_revision = 2
    pulled_across = 0
    for _ in range(8):
        fleet.run(REPORT_INTERVAL_S)
        for host in fleet.hosts:
            own = {Topic.ROUTES: host.routes_revision}
            for source in host.exchange.handle(GetPeersAhead(own), fleet.now):
                host.routes_revision = source.revision
                pulled_across += fleet.by_address[source.address].cfg.zone != host.cfg.zone
    assert {host.routes_revision for host in fleet.hosts} == {2}
    assert pulled_across <= 8


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_the_number_of_watchers_stays_the_same_in_a_large_fleet(count, zones):
    fleet = SimulatedFleet(count, zones)
    fleet.run(2.0)
    expected = WATCHERS_PER_TOPIC[Topic.ROUTES]
    per_zone = fleet.watchers(Topic.ROUTES)
    assert expected <= sum(per_zone.values()) <= expected + len(zones)
    if count > 9:
        assert set(per_zone) == set(zones)
