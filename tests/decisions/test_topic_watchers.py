"""Selection of the hosts that watch a topic in the store."""

import pytest

from almondspindle.core.inventory import Topic
from almondspindle.decisions.topic_watchers import WATCHERS_PER_TOPIC, is_topic_watcher


@pytest.mark.parametrize("topic", Topic)
@pytest.mark.parametrize("count", [1, 6, 62, 300])
def test_a_bounded_number_of_hosts_watches_each_topic(count, topic):
    hosts = {f"host-{number}" for number in range(count)}
    watchers = {host for host in hosts if is_topic_watcher(topic, host, hosts - {host})}
    assert len(watchers) == min(count, WATCHERS_PER_TOPIC[topic])


def test_another_host_watches_if_a_watcher_loses_the_store():
    hosts = {f"host-{number}" for number in range(20)}
    watchers = {host for host in hosts if is_topic_watcher(Topic.ROUTES, host, hosts - {host})}
    lost = min(watchers)
    connected = hosts - {lost}
    new_watchers = {
        host for host in connected if is_topic_watcher(Topic.ROUTES, host, connected - {host})
    }
    assert watchers - {lost} < new_watchers
    assert len(new_watchers) == WATCHERS_PER_TOPIC[Topic.ROUTES]


def test_a_host_without_contact_to_others_watches_every_topic():
    assert all(is_topic_watcher(topic, "host", ()) for topic in Topic)
