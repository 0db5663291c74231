"""The bound on requests to a cold target, over all hosts."""

from collections import deque

from almondspindle.core.node import Bounds
from almondspindle.decisions.cold_rate import WINDOW_S, host_share, may_send

BOUNDS = Bounds(cold_rate_multiple=1.5, cold_slack=5)


def test_the_shares_of_all_hosts_stay_within_the_bound():
    for count in (1, 6, 8, 62, 91, 300):
        hosts = [f"host-{number}" for number in range(count)]
        shares = [host_share(BOUNDS, 20.0, host, hosts, "t0") for host in hosts]
        assert 0 < sum(shares) <= 20.0 * 1.5 + 5


def test_a_host_sends_its_share_in_any_second_and_no_more():
    sent = deque([10.0, 10.5, 10.9])
    assert not may_send(sent, 3, now=10.95)
    assert may_send(sent, 3, now=10.0 + WINDOW_S)


def test_different_targets_take_the_rest_from_different_hosts():
    hosts = [f"host-{number}" for number in range(91)]
    takers = {
        target: frozenset(h for h in hosts if host_share(BOUNDS, 20.0, h, hosts, target))
        for target in ("t0", "t1")
    }
    assert takers["t0"] != takers["t1"]
