"""Selection of the hosts that watch a topic in the store."""

import pytest

from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import Topic
from almondspindle.decisions.peer_pull import Peer
from almondspindle.decisions.topic_watchers import WATCHERS_PER_TOPIC, is_topic_watcher

SLOW_MBPS, FAST_MBPS = 5.0, 100.0


def make_hosts(count: int, fast: int = 0) -> set[Peer]:
    return {
        Peer(HostName(f"host-{n}"), "", ZoneName("a"), FAST_MBPS if n < fast else SLOW_MBPS)
        for n in range(count)
    }


def watchers(topic: Topic, hosts: set[Peer]) -> set[Peer]:
    return {host for host in hosts if is_topic_watcher(topic, host, hosts - {host})}


@pytest.mark.parametrize("topic", Topic)
@pytest.mark.parametrize("count", [1, 6, 62, 300])
def test_a_bounded_number_of_hosts_watches_each_topic(count, topic):
    assert len(watchers(topic, make_hosts(count))) == min(count, WATCHERS_PER_TOPIC[topic])


def test_another_host_watches_if_a_watcher_loses_the_store():
    hosts = make_hosts(20)
    before = watchers(Topic.ROUTES, hosts)
    lost = min(before, key=lambda peer: peer.host)
    after = watchers(Topic.ROUTES, hosts - {lost})
    assert before - {lost} < after
    assert len(after) == WATCHERS_PER_TOPIC[Topic.ROUTES]


@pytest.mark.parametrize("fast", [2, 8])
def test_hosts_with_fast_links_watch_first(fast):
    chosen = watchers(Topic.ROUTES, make_hosts(80, fast))
    is_fast = [peer.link_mbps == FAST_MBPS for peer in chosen]
    assert sum(is_fast) == min(fast, WATCHERS_PER_TOPIC[Topic.ROUTES])


def test_a_host_without_contact_to_others_watches_every_topic():
    (host,) = make_hosts(1)
    assert all(is_topic_watcher(topic, host, ()) for topic in Topic)
