"""Loads and changes that reach all hosts of a large fleet through the delegates of its zones."""

import pytest

from almondspindle.controllers.exchange.messages import GetPeersAhead
from almondspindle.controllers.exchange.runners import REPORT_INTERVAL_S
from almondspindle.core.inventory import Topic
from almondspindle.core.node import Bounds
from almondspindle.core.placements import TargetLife
from almondspindle.decisions.topic_watchers import WATCHERS_PER_TOPIC
from tests.standins.revisions import at
from tests.standins.simulated_fleet import TARGET, SimulatedFleet

LEAVING = TargetLife(TARGET, "10.1.0.1:80", 5)


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_every_host_knows_nearly_all_loads(count, zones):
    fleet = SimulatedFleet(count, zones)
    fleet.run(3.0)
    known = [host.loads.in_flight(TARGET, fleet.now) for host in fleet.hosts]
    assert max(known) <= count - 1
    assert min(known) >= 0.75 * (count - 1)
    assert sum(known) / len(known) >= 0.9 * (count - 1)


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_every_host_learns_within_the_drain_time_that_a_target_is_leaving(count, zones):
    fleet = SimulatedFleet(count, zones)
    fleet.run(2.0)
    fleet.hosts[-1].leaving.add(LEAVING, fleet.now)
    fleet.run(Bounds().drain_s - 2 * REPORT_INTERVAL_S)
    knowing = [host for host in fleet.hosts if not host.leaving.add(LEAVING, fleet.now)]
    assert len(knowing) == count


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
    fleet.hosts[0].routes_revision = fleet.hosts[0].routes_changed = at(2)
    pulled_across = 0
    for _ in range(8):
        fleet.run(REPORT_INTERVAL_S)
        for host in fleet.hosts:
            own = {Topic.ROUTES: host.routes_revision}
            for source in host.exchange.handle(GetPeersAhead(own), fleet.now):
                host.routes_revision = host.routes_changed = source.revision
                pulled_across += fleet.by_address[source.address].cfg.zone != host.cfg.zone
    assert {host.routes_revision for host in fleet.hosts} == {at(2)}
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
