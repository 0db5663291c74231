"""Tests of membership with many hosts in one process, a manual clock and seeded faults."""

import pytest

from almondspindle.core.config import AvailabilityZone, ConfigSet, Service, ServiceKind
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.members import MembershipTimings
from almondspindle.core.roster import HostState, Target, TargetState, apply_delta
from almondspindle.decisions.freshness import PROBE_WINDOW
from almondspindle.decisions.membership import suspicion_timeout_s
from tests.standins.gossip import GossipFleet, owner_name

HOSTS = 16
ZONES = ["walvis-a", "walvis-b", "swakop-a", "henties"]
TIMINGS = MembershipTimings()
SUSPICION = int(suspicion_timeout_s(TIMINGS, HOSTS) / TIMINGS.period_s) + 1
DISSEMINATION = 6  # periods in which an update reaches all of 16 hosts
DETECTION = 6  # periods within which any given host has been probed by another
BOUND = DETECTION + SUSPICION + DISSEMINATION


def zone_of(number: int) -> str:
    return ZONES[number % len(ZONES)]


def fleet_of(hosts: int = HOSTS, **settings) -> GossipFleet:
    services = {"s": Service("s", ServiceKind.PLAIN)}
    zones = {name: AvailabilityZone(name, "erongo") for name in ZONES}
    fleet = GossipFleet(config=ConfigSet(1, {}, services, zones), **settings)
    fleet.list_targets(Target(f"t{n}", "s", zone_of(n), f"10.0.0.1:{n}") for n in range(40))
    for number in range(hosts):
        fleet.start(f"h{number}", zone_of(number))
    fleet.run_until(fleet.owners_agree, DISSEMINATION)
    fleet.run(2 * DISSEMINATION)
    return fleet


def views(fleet: GossipFleet, name: str) -> set[HostState | None]:
    """Return the states that host `name` has in the view of the other running hosts."""
    peers = fleet.peers.values()
    return {p.state_of(name) for p in peers if p.is_running and p.host.name != name}


def test_fleet_without_changes_publishes_nothing():
    fleet = fleet_of()
    before = {name: len(peer.deltas) for name, peer in fleet.peers.items()}
    fleet.run(60)
    assert {name: len(peer.deltas) for name, peer in fleet.peers.items()} == before


def test_a_host_that_joins_is_known_to_all_and_gets_its_targets():
    fleet = fleet_of()
    fleet.start("h99", ZONES[0])
    fleet.run_until(lambda: views(fleet, "h99") == {HostState.LIVE}, DISSEMINATION)
    fleet.run_until(fleet.owners_agree, 1)
    assert any(owner_name(fleet.peers["h0"], t) == "h99" for t in fleet.platform_list.targets)


def test_a_killed_host_is_found_dead_and_no_target_is_lost_for_longer_than_the_bound():
    fleet = fleet_of()
    fleet.stop("h3")
    assert fleet.unserved_targets()
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    assert fleet.unserved_targets() == [] and fleet.owners_agree()


def test_a_leaving_host_hands_over_at_once_and_refuses_new_work():
    fleet = fleet_of()
    fleet.announce_leaving("h3")
    assert views(fleet, "h3") == {HostState.LEAVING}
    assert fleet.unserved_targets() == [] and fleet.owners_agree()
    refusal = fleet.peers["h3"].may_own(fleet.now)
    assert not refusal
    fleet.stop("h3")
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)


def test_paused_host_claims_nothing_until_its_view_is_fresh():
    fleet = fleet_of()
    paused = fleet.peers["h3"]
    owned = [t for t in fleet.platform_list.targets if owner_name(paused, t) == "h3"]
    fleet.stop("h3")
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    fleet.resume("h3")
    assert owned and not any(paused.owns(target, fleet.now) for target in owned)
    fleet.store_down = True
    others = [name for name in fleet.peers if name != "h3"]
    fleet.partition(["h3"], others)
    fleet.run(2)
    assert not paused.may_own(fleet.now)
    fleet.partitioned.clear()
    fleet.run_until(lambda: paused.may_own(fleet.now), DISSEMINATION)
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.LIVE}, 2 * DISSEMINATION)
    assert fleet.owners_agree()


@pytest.mark.parametrize("both_ways", [True, False], ids=["both ways", "one way"])
@pytest.mark.parametrize("others", [["h4"], ["h4", "h5", "h6"]], ids=["one host", "three hosts"])
def test_a_host_that_some_hosts_cannot_reach_stays_live_through_helpers(both_ways, others):
    fleet = fleet_of()
    fleet.partition(["h3"], others, both_ways)
    for _ in range(60):
        fleet.run_period()
        assert HostState.DEAD not in views(fleet, "h3")
    assert fleet.owners_agree()


def test_partitioned_host_stops_claiming_targets_and_recovers():
    fleet = fleet_of()
    fleet.store_down = True
    others = [name for name in fleet.peers if name != "h3"]
    fleet.partition(["h3"], others)
    isolated = fleet.peers["h3"]
    fleet.run_until(lambda: not isolated.may_own(fleet.now), BOUND)
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    assert all(fleet.peers[name].may_own(fleet.now) for name in others)
    fleet.run(3 * BOUND)
    considered_dead = [name for name in others if isolated.state_of(name) is HostState.DEAD]
    assert len(considered_dead) < PROBE_WINDOW
    fleet.partitioned.clear()
    fleet.run_until(lambda: isolated.may_own(fleet.now) and fleet.owners_agree(), 2 * BOUND)


def test_survivors_continue_when_most_hosts_die_while_the_platform_responds():
    fleet = fleet_of()
    for name in list(fleet.peers)[4:]:
        fleet.stop(name)
    survivors = [peer for peer in fleet.peers.values() if peer.is_running]
    for _ in range(4 * BOUND):
        fleet.run_period()
        assert all(peer.may_own(fleet.now) for peer in survivors)
    assert fleet.owners_agree() and not fleet.unserved_targets()


@pytest.mark.parametrize("store_down", [False, True], ids=["store up", "store down"])
def test_two_halves_merge_after_a_partition(store_down):
    fleet = fleet_of()
    fleet.store_down = store_down
    half = [f"h{n}" for n in range(HOSTS) if n % 4 < 2]
    rest = [name for name in fleet.peers if name not in half]
    fleet.partition(half, rest)
    fleet.run(5 * BOUND)
    states = {fleet.peers[a].state_of(b) for a in half for b in rest}
    assert HostState.DEAD in states
    fleet.partitioned.clear()
    fleet.run_until(fleet.owners_agree, 8 * BOUND)
    live = [views(fleet, name) for name in fleet.peers]
    assert set.union(*live) <= {HostState.LIVE, HostState.SUSPECT, HostState.DAMPED}


def test_restart_at_the_same_address_is_recognized_as_a_new_process():
    fleet = fleet_of()
    old = fleet.peers["h3"].controller
    fleet.start("h3", zone_of(3))
    assert fleet.peers["h3"].controller is not old
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.LIVE}, DISSEMINATION)
    fleet.run(BOUND)
    assert views(fleet, "h3") == {HostState.LIVE} and fleet.owners_agree()


def test_another_host_at_a_dead_hosts_address_does_not_keep_it_alive():
    fleet = fleet_of()
    address = fleet.peers["h3"].host.address
    fleet.stop("h3")
    fleet.start("h98", zone_of(3), address)
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    fleet.run_until(lambda: views(fleet, "h98") == {HostState.LIVE}, BOUND)


def test_host_whose_wall_clock_went_back_replaces_its_earlier_process():
    fleet = fleet_of()
    fleet.stop("h3")
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    fleet.clock.epoch -= 3600.0
    fleet.start("h3", zone_of(3))
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.LIVE}, BOUND)


def test_a_flapping_host_owns_nothing_for_a_growing_time():
    fleet = fleet_of()
    holds = []
    for _ in range(5):
        fleet.start("h3", zone_of(3))
        fleet.run(DISSEMINATION)
        is_damped = views(fleet, "h3") == {HostState.DAMPED}
        holds.append(_periods_damped(fleet) if is_damped else 0)
    assert holds[:2] == [0, 0]
    assert 0 < holds[2] < holds[3] < holds[4]
    assert fleet.owners_agree()


def _periods_damped(fleet: GossipFleet) -> int:
    return fleet.run_until(lambda: views(fleet, "h3") == {HostState.LIVE}, 120)


def test_host_removed_from_the_list_is_forgotten_and_does_not_reappear():
    fleet = fleet_of()
    fleet.stop("h3")
    fleet.run_until(lambda: views(fleet, "h3") == {HostState.DEAD}, BOUND)
    hosts = {name: host for name, host in fleet.platform_list.hosts.items() if name != "h3"}
    fleet.platform_list = type(fleet.platform_list)(hosts, fleet.platform_list.targets)
    readers = [p for p in fleet.peers.values() if p.is_running and p.store_calls > DISSEMINATION]
    assert readers
    fleet.run(int(TIMINGS.forget_unlisted_s) + DISSEMINATION)
    assert {peer.state_of("h3") for peer in readers} == {None}
    fleet.run(DISSEMINATION)
    assert views(fleet, "h3") <= {None, HostState.DEAD}


def test_changes_of_the_target_list_reach_hosts_that_do_not_read_it():
    fleet = fleet_of()
    calls = {name: peer.store_calls for name, peer in fleet.peers.items()}
    removed, leaving = "t0", "t1"
    targets = [t for t in fleet.platform_list.targets.values() if t.name not in (removed, leaving)]
    moved = Target(leaving, "s", zone_of(1), "10.0.0.1:1", TargetState.LEAVING)
    fleet.list_targets([*targets, moved, Target("t99", "s", ZONES[0], "10.0.0.1:99")])
    expected = fleet.platform_list.targets
    fleet.run_until(lambda: all(p.roster.targets == expected for p in fleet.peers.values()), BOUND)
    not_reading = [n for n, peer in fleet.peers.items() if peer.store_calls == calls[n]]
    assert len(not_reading) == HOSTS - TIMINGS.list_watchers * len(ZONES)


def test_a_host_whose_target_list_differs_from_all_others_reads_the_list():
    fleet = fleet_of()
    peers = fleet.peers.values()
    diverged = next(p for p in peers if not p.controller._is_list_watcher())
    diverged.controller._gossip.replace_target_list({}, 1)
    fleet.run(1)
    assert diverged.roster.targets == {}
    fleet.run_until(
        lambda: diverged.roster.targets == fleet.platform_list.targets,
        int(TIMINGS.list_mismatch_s) + 3,
    )


def test_deltas_add_up_to_the_roster():
    fleet = fleet_of(loss=0.05)
    fleet.stop("h3")
    fleet.run(BOUND)
    fleet.start("h3", zone_of(3))
    fleet.run(BOUND)
    for peer in fleet.peers.values():
        roster = type(peer.roster)()
        for delta in peer.deltas:
            assert delta
            roster = apply_delta(roster, delta)
        assert roster == peer.roster


def test_lost_messages_do_not_make_any_host_dead():
    fleet = fleet_of(loss=0.05)
    for _ in range(100):
        fleet.run_period()
        assert all(HostState.DEAD not in views(fleet, name) for name in fleet.peers)


def test_digests_add_up_to_the_region_and_newer_config_version_is_reported():
    fleet = fleet_of()
    for peer in fleet.peers.values():
        peer.own_digests = (ServiceDigest("s", 3, 2, 1),)
    fleet.run(3 * DISSEMINATION)
    for peer in fleet.peers.values():
        found = [digest for digests in peer.digests.values() for digest in digests]
        others = HOSTS - 1
        assert sum(d.in_flight for d in found) == 3 * others
        assert sum(d.targets for d in found) == 2 * others
        assert peer.peer_config_versions == []
    ahead = fleet.peers["h3"].controller
    ahead._config = ConfigSet(2, {}, fleet.config.services, fleet.config.zones)
    fleet.run_until(
        lambda: all(p.peer_config_versions for n, p in fleet.peers.items() if n != "h3"),
        8 * DISSEMINATION,
    )
    assert fleet.peers["h4"].peer_config_versions[0] == ("h3", 2)
