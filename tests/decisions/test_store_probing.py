"""Calls to a failing store, by a host and by all hosts of a large fleet."""

import random

import pytest

from almondspindle.controllers.exchange.messages import IsStoreProber, ReportReceived
from almondspindle.controllers.view.messages import (
    ChangesReceived,
    ReserveStoreCall,
    StoreCallFailed,
)
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName
from almondspindle.core.inventory import Topic, TopicChanges
from almondspindle.core.reports import HostReport
from almondspindle.decisions.store_probing import PROBERS_PER_GROUP, RECOVERY_PROBE_S
from tests.controllers.test_zone_reports import SimulatedFleet

OUTAGE_S = 8.0
TICK_S = 0.05


def failing_view() -> ViewController:
    view = ViewController(SimulatedFleet(1, "a").hosts[0].cfg, ManualClock(), lambda _: None)
    view.handle(StoreCallFailed(Topic.ROUTES, "down"), 0.0)
    return view


def calls_during_outage(is_prober: bool) -> int:
    """Return the number of calls of a host whose four topics all wait for the store."""
    view, now, calls = failing_view(), 0.0, 0
    while now < OUTAGE_S:
        now += TICK_S
        for topic in Topic:
            if view.handle(ReserveStoreCall(is_prober), now) <= 0:
                calls += 1
                view.handle(StoreCallFailed(topic, "down"), now)
    return calls


def test_calls_of_a_whole_fleet_in_an_outage_are_few():
    random.seed(3)
    fleet = SimulatedFleet(80, "abcd")
    fleet.reaches_store = False
    fleet.run(2.0)
    probers = [h for h in fleet.hosts if h.exchange.handle(IsStoreProber(), fleet.now)]
    assert len(probers) == 4 * PROBERS_PER_GROUP
    calls = sum(calls_during_outage(host in probers) for host in fleet.hosts)
    assert calls < 1000
    assert min(calls_during_outage(is_prober=True) for _ in range(5)) > 2 * OUTAGE_S


def test_every_watcher_that_fails_probes_while_its_zone_reaches_the_store():
    """Their watches may all be cut at once, and none of them may wait for its turn then."""
    fleet = SimulatedFleet(80, "abcd")
    fleet.run(2.0)
    assert all(host.exchange.handle(IsStoreProber(), fleet.now) for host in fleet.hosts)


def test_every_topic_goes_on_at_once_after_the_store_responds():
    view = failing_view()
    assert view.handle(ReserveStoreCall(is_prober=False), 0.1) > 0
    view.handle(ChangesReceived(TopicChanges(Topic.ROUTES, 5, ())), 0.2)
    assert [view.handle(ReserveStoreCall(is_prober=False), 0.2) for _ in Topic] == [0.0] * 4


def test_a_call_that_is_never_reported_does_not_block_the_next_one():
    view = failing_view()
    assert view.handle(ReserveStoreCall(is_prober=True), 1.0) == 0.0
    assert view.handle(ReserveStoreCall(is_prober=True), 1.1) > 0
    assert view.handle(ReserveStoreCall(is_prober=True), 3.0) == 0.0


@pytest.mark.parametrize(("after_s", "expected"), [(0.1, True), (RECOVERY_PROBE_S + 0.1, False)])
def test_every_host_probes_for_a_while_after_a_peer_regained_the_store(after_s, expected):
    fleet = SimulatedFleet(80, "abcd")
    fleet.reaches_store = False
    fleet.run(2.0)
    host = next(h for h in fleet.hosts if not h.exchange.handle(IsStoreProber(), fleet.now))
    for number, reaches_store in enumerate((False, True)):
        report = HostReport(
            HostName("h4" if host.cfg.host != "h4" else "h0"), "10.0.0.4:7340", number,
            host.cfg.zone, reaches_store=reaches_store,
        )  # fmt: skip
        host.exchange.handle(ReportReceived(report), fleet.now)
    assert host.exchange.handle(IsStoreProber(), fleet.now + after_s) is expected


def test_a_host_becomes_a_prober_within_half_a_second():
    view = failing_view()
    assert view.handle(ReserveStoreCall(is_prober=False), 0.2) > 0
    view.handle(StoreCallFailed(Topic.ROUTES, "down"), 0.2)
    asked = [view.handle(ReserveStoreCall(is_prober=True), 0.2 + n * TICK_S) for n in range(11)]
    assert 0.0 in asked
