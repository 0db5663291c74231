"""What other hosts' reports tell."""

import random

from almondspindle.controllers.exchange.messages import (
    GetPeersAhead,
    GetReportReceivers,
    IsTopicWatcher,
    ReportReceived,
)
from almondspindle.controllers.exchange.task import REPORT_FANOUT, REPORT_TTL_S, ExchangeController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import Topic
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.reports import HostReport
from almondspindle.decisions.peer_pull import PEER_PULL_DELAY_S

CFG = NodeCfg(
    HostName("h0"), ZoneName("a"), "10.0.0.1", "", "", "", 7340, 7341, 4200, Bounds(),
    other_hosts=("10.0.0.1", "10.0.0.2"),
)  # fmt: skip


def controller() -> ExchangeController:
    return ExchangeController(CFG, ManualClock(), random.Random(1))


def hear(found: ExchangeController, number: int, now: float, **changes: object) -> None:
    report = HostReport(HostName(f"h{number}"), f"10.0.1.{number}:7340", 1, **changes)
    found.handle(ReportReceived(report), now)


def test_the_first_reports_go_to_the_seeds():
    assert controller().handle(GetReportReceivers(), 1.0) == ["10.0.0.2:7340"]


def test_the_cost_of_reports_does_not_grow_with_the_fleet():
    found = controller()
    for number in range(1, 92):
        hear(found, number, now=1.0)
    assert len(found.handle(GetReportReceivers(), 1.0)) == REPORT_FANOUT


def test_a_topic_is_taken_from_a_peer_only_when_the_store_has_not_brought_it():
    found = controller()
    known = {Topic.ROUTES: 10, Topic.TARGETS: 30}
    hear(found, 1, now=1.0, revisions={"routes": 12, "targets": 20})
    assert found.handle(GetPeersAhead(known), 1.0) == []
    ahead = found.handle(GetPeersAhead(known), 1.0 + PEER_PULL_DELAY_S)
    assert [(a.topic, a.address, a.revision) for a in ahead] == [
        (Topic.ROUTES, "10.0.1.1:7340", 12)
    ]
    caught_up = {**known, Topic.ROUTES: 12}
    assert found.handle(GetPeersAhead(caught_up), 2.0) == []


def test_a_silent_peer_is_not_asked():
    found = controller()
    hear(found, 1, now=1.0, revisions={"routes": 12})
    for now in (1.0 + REPORT_TTL_S + 0.1, 2.0 + REPORT_TTL_S):
        assert found.handle(GetPeersAhead({Topic.ROUTES: 10}), now) == []


def test_hosts_that_do_not_reach_the_store_follow_no_topic_for_others():
    found = controller()
    for number in range(1, 40):
        hear(found, number, now=1.0, reaches_store=False)
    assert all(found.handle(IsTopicWatcher(topic), 1.0) for topic in Topic)
    for number in range(1, 40):
        hear(found, number, now=1.0)
    assert not all(found.handle(IsTopicWatcher(topic), 1.0) for topic in Topic)
