"""The limit on requests per second to a cold target, over all hosts."""

from collections import deque

from almondspindle.core.node import Bounds
from almondspindle.decisions.cold_rate import WINDOW_S, host_share, may_send

BOUNDS = Bounds(cold_rate_multiple=1.5, cold_slack=5)


def test_the_shares_of_all_hosts_stay_within_the_bound():
    for count in (1, 6, 8, 62, 91, 300):
        hosts = [f"host-{number}" for number in range(count)]
        shares = [host_share(BOUNDS, 20.0, host, hosts, "t0") for host in hosts]
        assert 0 < sum(shares) <= 20.0 * 1.5 + 5


def test_host_sends_at_most_its_share_in_any_second():
    sent = deque([10.0, 10.5, 10.9])
    assert not may_send(sent, 3, now=10.95)
    assert may_send(sent, 3, now=10.0 + WINDOW_S)


def test_remainder_goes_to_different_hosts_for_different_targets():
    hosts = [f"host-{number}" for number in range(91)]
    senders = {
        target: frozenset(h for h in hosts if host_share(BOUNDS, 20.0, h, hosts, target))
        for target in ("t0", "t1")
    }
    assert senders["t0"] != senders["t1"]
