"""The membership table, the gossip queue and the load digests."""

import pytest

from almondspindle.core.digest import ServiceDigest
from almondspindle.core.members import STATE_RANK, MemberRecord, MembershipTimings
from almondspindle.core.roster import Host, HostState
from almondspindle.decisions.digests import DigestTable, load_digest, short_id
from almondspindle.decisions.freshness import OwnershipStatus, ViewFreshness
from almondspindle.decisions.gossip_queue import GossipQueue, transmission_limit
from almondspindle.decisions.membership import ON_MISSED_PROBE, MemberTable, suspicion_timeout_s

OWN = MemberRecord("own", "z", "1:1", 10)
LIVE, SUSPECT, LEAVING, DEAD = STATE_RANK


def record(boot: int = 5, incarnation: int = 0, state: HostState = LIVE) -> MemberRecord:
    return MemberRecord("a", "z", "1:2", boot, incarnation, state)


REPLACES = [
    (record(state=LIVE), record(state=SUSPECT), True),
    (record(state=SUSPECT), record(state=LIVE), False),
    (record(state=SUSPECT), record(incarnation=1, state=LIVE), True),
    (record(state=DEAD), record(incarnation=1, state=LIVE), True),
    (record(state=DEAD), record(state=LEAVING), False),
    (record(incarnation=9, state=DEAD), record(boot=6), True),
    (record(boot=6), record(boot=5, incarnation=9, state=DEAD), False),
]


@pytest.mark.parametrize(("known", "received", "replaces"), REPLACES)
def test_which_record_replaces_another(known, received, replaces):
    table = MemberTable(OWN, MembershipTimings())
    table.merge(record(), 0.0)
    table.merge(known, 0.0)
    before = table.checksum()
    table.merge(received, 1.0)
    assert (table.members["a"].record == received) is replaces
    assert (table.checksum() != before) is replaces


def test_a_missed_probe_has_a_result_for_every_state():
    assert set(ON_MISSED_PROBE) == set(STATE_RANK)


def test_a_forgotten_host_is_not_added_again_as_a_dead_one():
    table = MemberTable(OWN, MembershipTimings())
    assert table.merge(record(state=DEAD), 0.0) == []
    assert table.members == {}


def test_the_list_does_not_replace_a_record_from_the_host_itself():
    table = MemberTable(OWN, MembershipTimings())
    table.merge(record(), 0.0)
    table.apply_list([Host("a", "z", "9:9", HostState.LEAVING)], 1.0)
    assert table.members["a"].record == record()


def test_the_list_may_change_the_address_of_a_host_that_sent_no_record_yet():
    table = MemberTable(OWN, MembershipTimings())
    table.apply_list([Host("a", "z", "1:2")], 0.0)
    table.apply_list([Host("a", "z", "9:9")], 1.0)
    assert table.members["a"].record.address == "9:9"


def test_a_host_announces_the_address_that_the_list_has_for_it():
    table = MemberTable(OWN, MembershipTimings())
    table.apply_list([Host("own", "z", "10.0.0.9:1")], 0.0)
    assert (table.own.address, table.own.incarnation) == ("10.0.0.9:1", 1)
    table.apply_list([Host("own", "z", "10.0.0.9:1")], 1.0)
    assert table.own.incarnation == 1


def test_the_suspicion_timeout_grows_with_the_logarithm_of_the_fleet_size():
    timings = MembershipTimings()
    times = [suspicion_timeout_s(timings, hosts) for hosts in (2, 10, 100, 1000)]
    assert times == [4.0, 4.0, 8.0, 12.0]


def test_updates_are_sent_a_bounded_number_of_times_and_the_least_sent_first():
    queue = GossipQueue()
    queue.put("a")
    sends = [queue.take(1, 3) for _ in range(2)]
    queue.put("b")
    sends += [queue.take(1, 3) for _ in range(20)]
    flat = [key for keys in sends for key in keys]
    assert flat[:3] == ["a", "a", "b"]
    assert flat.count("a") == flat.count("b") == transmission_limit(3)
    assert len(queue) == 0


def test_the_least_sent_digests_go_first_and_the_most_recent_of_those():
    table = DigestTable()
    for age, name in enumerate(["a", "b", "c"]):
        digest = load_digest(name, [ServiceDigest("s", 1, 1)])
        table.merge([digest], 100.0 - age)
    names = ["c", "b", "a"]
    taken = [digest.subject_id for digest in table.select_for_message(names, 2, 100.0)]
    assert taken == [short_id("a"), short_id("b")]
    again = [digest.subject_id for digest in table.select_for_message(names, 2, 100.0)]
    assert again == [short_id("c"), short_id("a")]


def test_older_digests_of_a_subject_are_ignored_and_old_ones_expire():
    table = DigestTable()
    assert table.merge([load_digest("a", [ServiceDigest("s", 1, 1)])], 100.0)
    assert not table.merge([load_digest("a", [ServiceDigest("s", 9, 9)])], 90.0)
    assert table.by_service_name(["a"], ["s"], 100.0) == {"a": (ServiceDigest("s", 1, 1),)}
    assert table.by_service_name(["a"], ["s"], 1000.0) == {}


@pytest.mark.parametrize("period_s", [0.05, 0.2, 1.0])
@pytest.mark.parametrize("hosts", [1, 3, 1100])
def test_a_period_of_probes_that_time_out_does_not_count_as_a_pause(period_s, hosts):
    timings = MembershipTimings(period_s=period_s)
    longest_s = max(period_s, timings.probe_timeout_s + timings.indirect_probe_timeout_s)
    fresh = ViewFreshness(last_tick_at=0.0)
    fresh.tick(longest_s, suspicion_timeout_s(timings, hosts))
    assert (
        fresh.ownership_status(longest_s, suspicion_timeout_s(timings, hosts))
        is OwnershipStatus.OWNING
    )
