"""Calls to a failing store, by a host and by all hosts of a large fleet."""

import asyncio
import random

import pytest

from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.controllers.exchange.messages import GetProbeSharers, ReportReceived
from almondspindle.controllers.view.announcer import Announcer
from almondspindle.controllers.view.messages import (
    ANNOUNCEMENT,
    AnnouncementFailed,
    ChangesReceived,
    ReserveStoreCall,
    StoreCallFailed,
    StoreCallReleased,
)
from almondspindle.controllers.view.task import ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName
from almondspindle.core.inventory import Topic, TopicChanges
from almondspindle.core.outcomes import Error, Ok
from almondspindle.core.reports import HostReport
from almondspindle.decisions.store_probing import PROBE_DURATION_S, RECOVERY_PROBE_S
from tests.controllers.test_zone_reports import SimulatedFleet
from tests.standins.revisions import at

OUTAGE_S = 8.0
TICK_S = 0.05
CONFIG_BOUND_S = 2.0  # the time in which a manifest must be in force
CALLS_PER_S = 11.0  # of the hosts of a zone, while the store is down
ZONE_HOSTS = 20  # of a fleet of 80 in four zones


def failing_view() -> ViewController:
    view = ViewController(SimulatedFleet(1, "a").hosts[0].cfg, ManualClock(), lambda _: None)
    view.handle(StoreCallFailed(Topic.ROUTES, "down"), 0.0)
    return view


def probe_times(sharers: int) -> list[float]:
    """Return when a host whose four topics all wait for the store calls it, in an outage."""
    view, now, times = failing_view(), 0.0, []
    while now < OUTAGE_S:
        now += TICK_S
        for topic in Topic:
            if view.handle(ReserveStoreCall(topic, sharers), now) <= 0:
                times.append(now)
                view.handle(StoreCallFailed(topic, "down"), now)
    return times


def longest_wait(times: list[float]) -> float:
    return max(b - a for a, b in zip([0.0, *times], times, strict=False))


def failing_fleet(count: int, zones: str) -> SimulatedFleet:
    fleet = SimulatedFleet(count, zones)
    fleet.reaches_store = False
    fleet.run(2.0)
    return fleet


def sharers(fleet: SimulatedFleet) -> list[int]:
    return [host.exchange.handle(GetProbeSharers(), fleet.now) for host in fleet.hosts]


def test_calls_of_a_whole_fleet_in_an_outage_are_few():
    random.seed(3)
    fleet = failing_fleet(80, "abcd")
    calls = sorted(time for count in sharers(fleet) for time in probe_times(count))
    assert len(calls) < 500
    first_s = 1.0  # every host retries its first failure once
    assert sum(time > first_s for time in calls) / (OUTAGE_S - first_s) < 4 * CALLS_PER_S


def test_hosts_of_a_fleet_of_any_size_notice_soon_that_the_store_is_back():
    random.seed(5)
    for count, zones in ((3, "abc"), (8, "abcd"), (80, "abcd"), (195, "abcdef")):
        fleet = failing_fleet(count, zones)
        in_group = [h for h in fleet.hosts if count <= 9 or h.cfg.zone == "a"]
        shared_by = fleet.hosts[0].exchange.handle(GetProbeSharers(), fleet.now)
        calls = sorted(time for _ in in_group for time in probe_times(shared_by))
        assert longest_wait(calls) < 1.0


@pytest.mark.parametrize("number", range(8))
def test_a_host_probes_within_the_bound_while_all_its_peers_have_lost_the_store(number):
    random.seed(number)
    fleet = failing_fleet(8, "abcd")
    assert longest_wait(probe_times(sharers(fleet)[number])) < CONFIG_BOUND_S


def test_every_watcher_that_fails_probes_while_its_zone_reaches_the_store():
    """Their watches may all be cut at once, and none of them may wait for its turn then."""
    fleet = SimulatedFleet(80, "abcd")
    fleet.run(2.0)
    assert sharers(fleet) == [1] * 80


@pytest.mark.parametrize("peers", [1, ZONE_HOSTS, 50])
def test_a_host_retries_its_first_failure_at_once_whatever_its_peers_say(peers):
    assert probe_times(peers)[0] <= 0.15


def test_watches_that_were_waiting_when_the_store_was_lost_do_not_delay_the_next_probe():
    view = failing_view()
    for topic in (Topic.TARGETS, Topic.ZONES, Topic.HOSTS):
        view.handle(StoreCallFailed(topic, "reset"), 0.01)
    assert view.handle(ReserveStoreCall(Topic.ROUTES, ZONE_HOSTS), 0.12) == 0.0
    view.handle(StoreCallFailed(Topic.TARGETS, "timed out"), 0.13)  # an earlier watch, late
    assert view.handle(ReserveStoreCall(Topic.ZONES, ZONE_HOSTS), 0.14) > 0
    view.handle(StoreCallReleased(Topic.TARGETS), 0.15)
    assert view.handle(ReserveStoreCall(Topic.ZONES, ZONE_HOSTS), 0.16) > 0
    view.handle(StoreCallReleased(Topic.ROUTES), 0.17)
    assert view.handle(ReserveStoreCall(Topic.ZONES, ZONE_HOSTS), 0.18) == 0.0


@pytest.mark.parametrize("outcome", [AnnouncementFailed(), StoreCallReleased(ANNOUNCEMENT)])
def test_the_write_of_the_host_record_gives_its_turn_back(outcome):
    view = failing_view()
    assert view.handle(ReserveStoreCall(ANNOUNCEMENT, 1), 0.2) == 0.0
    view.handle(outcome, 0.3)
    now = 0.3 + 0.25  # the longest delay after two failures is 0.2 s
    assert view.handle(ReserveStoreCall(Topic.ROUTES, 1), now) == 0.0


def test_a_failed_write_of_the_host_record_does_not_say_that_the_store_is_lost():
    view = ViewController(SimulatedFleet(1, "a").hosts[0].cfg, ManualClock(), lambda _: None)
    view.handle(AnnouncementFailed(), 0.1)
    assert view.handle(ReserveStoreCall(Topic.ROUTES, 8), 0.1) == 0.0


ERA = 3


class FailingStore:
    """A store client whose writes fail at first."""

    def __init__(self, failures: int) -> None:
        self.failures = failures

    async def announce(self, record):
        self.failures -= 1
        if self.failures >= 0:
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, "lost"))
        return Ok(ERA)


class FreeTurns:
    """Gives every turn at once."""

    async def wait(self, caller):
        assert caller == ANNOUNCEMENT


def test_the_announcer_reports_the_end_of_each_of_its_turns():
    reported: list[object] = []
    host = SimulatedFleet(1, "a").hosts[0]
    view = ViewController(host.cfg, ManualClock(), lambda _: None)
    view.send = reported.append
    store = FailingStore(failures=2)
    announcer = Announcer(host.record(), store, view, FreeTurns(), ManualClock())
    assert asyncio.run(announcer.write()) == ERA
    assert reported == [
        AnnouncementFailed(),
        AnnouncementFailed(),
        StoreCallReleased(ANNOUNCEMENT),
    ]


def test_every_topic_goes_on_at_once_after_the_store_responds():
    view = failing_view()
    assert view.handle(ReserveStoreCall(Topic.ROUTES, ZONE_HOSTS), 0.05) > 0
    view.handle(ChangesReceived(TopicChanges(Topic.ROUTES, at(5), ())), 0.2)
    assert [view.handle(ReserveStoreCall(t, ZONE_HOSTS), 0.2) for t in Topic] == [0.0] * len(Topic)


def test_a_call_that_is_never_reported_does_not_block_the_next_one():
    view = failing_view()
    assert view.handle(ReserveStoreCall(Topic.ROUTES, 1), 1.0) == 0.0
    assert view.handle(ReserveStoreCall(Topic.ZONES, 1), 1.1) > 0
    assert view.handle(ReserveStoreCall(Topic.ZONES, 1), 1.0 + PROBE_DURATION_S + 0.1) == 0.0


@pytest.mark.parametrize(("after_s", "is_alone"), [(0.1, True), (RECOVERY_PROBE_S + 0.1, False)])
def test_every_host_probes_for_a_while_after_a_peer_regained_the_store(after_s, is_alone):
    fleet = failing_fleet(80, "abcd")
    host = fleet.hosts[0]
    for number, reaches_store in enumerate((False, True)):
        report = HostReport(
            HostName("h4"), "10.0.0.4:7340", number, host.cfg.zone, reaches_store=reaches_store
        )
        host.exchange.handle(ReportReceived(report), fleet.now)
    assert (host.exchange.handle(GetProbeSharers(), fleet.now + after_s) == 1) is is_alone


def test_a_host_probes_within_half_a_second_after_its_peers_regained_the_store():
    view = failing_view()
    view.handle(ReserveStoreCall(Topic.ROUTES, ZONE_HOSTS), 0.2)
    view.handle(StoreCallFailed(Topic.ROUTES, "down"), 0.2)
    assert view.handle(ReserveStoreCall(Topic.ROUTES, ZONE_HOSTS), 0.3) > 0
    asked = [view.handle(ReserveStoreCall(Topic.ROUTES, 1), 0.2 + n * TICK_S) for n in range(11)]
    assert 0.0 in asked
