"""Test the controller of the other hosts' reports."""

import random

from almondspindle.controllers.exchange.messages import (
    GetPeersAhead,
    GetReportReceivers,
    GetWatchTurn,
    ReportReceived,
)
from almondspindle.controllers.exchange.task import REPORT_TTL_S, ExchangeController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import Topic
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.reports import HostReport
from almondspindle.decisions.peer_pull import WATCHER_PULL_DELAY_S
from almondspindle.decisions.report_scope import REPORT_FANOUT
from tests.standins.revisions import at

CFG = NodeCfg(
    HostName("h0"), ZoneName("a"), "10.0.0.1", "", "", "", 7340, 7341, 4200, Bounds(),
    other_hosts=("10.0.0.1", "10.0.0.2"),
)  # fmt: skip


def make_controller() -> ExchangeController:
    return ExchangeController(CFG, ManualClock(), random.Random(1))


def receive_report(
    controller: ExchangeController, number: int, now: float, **changes: object
) -> None:
    address = f"10.0.1.{number}:7340"
    report = HostReport(HostName(f"h{number}"), address, 1, ZoneName("a"), **changes)
    controller.handle(ReportReceived(report), now)


def test_first_reports_are_sent_to_the_seeds():
    assert make_controller().handle(GetReportReceivers(), 1.0) == ["10.0.0.2:7340"]


def test_number_of_receivers_does_not_grow_with_the_fleet():
    controller = make_controller()
    for number in range(1, 92):
        receive_report(controller, number, now=1.0)
    assert len(controller.handle(GetReportReceivers(), 1.0)) == REPORT_FANOUT


def test_topic_is_pulled_from_a_peer_only_if_the_store_has_not_delivered_it():
    controller = make_controller()
    revisions = {Topic.ROUTES: at(10), Topic.TARGETS: at(30)}
    receive_report(controller, 1, now=1.0, revisions={"routes": at(12), "targets": at(20)})
    assert controller.handle(GetPeersAhead(revisions), 1.0) == []
    ahead = controller.handle(GetPeersAhead(revisions), 1.0 + WATCHER_PULL_DELAY_S)
    assert [(peer.topic, peer.address, peer.revision) for peer in ahead] == [
        (Topic.ROUTES, "10.0.1.1:7340", at(12))
    ]
    caught_up = {**revisions, Topic.ROUTES: at(12)}
    assert controller.handle(GetPeersAhead(caught_up), 2.0) == []


def test_nothing_is_pulled_from_a_peer_without_recent_reports():
    controller = make_controller()
    receive_report(controller, 1, now=1.0, revisions={"routes": at(12)})
    for now in (1.0 + REPORT_TTL_S + 0.1, 2.0 + REPORT_TTL_S):
        assert controller.handle(GetPeersAhead({Topic.ROUTES: at(10)}), now) == []


def test_hosts_that_cannot_reach_the_store_are_not_counted_as_watchers():
    controller = make_controller()
    for number in range(1, 40):
        receive_report(controller, number, now=1.0, reaches_store=False)
    assert all(controller.handle(GetWatchTurn(topic), 1.0) for topic in Topic)
    for number in range(1, 40):
        receive_report(controller, number, now=1.0)
    assert not all(controller.handle(GetWatchTurn(topic), 1.0) for topic in Topic)
