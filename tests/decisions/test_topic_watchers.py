"""Which hosts follow a topic in the store."""

import pytest

from almondspindle.core.inventory import Topic
from almondspindle.decisions.topic_watchers import WATCHERS_PER_TOPIC, is_topic_watcher


@pytest.mark.parametrize("topic", Topic)
@pytest.mark.parametrize("count", [1, 6, 62, 300])
def test_a_bounded_number_of_hosts_follows_each_topic(count, topic):
    hosts = {f"host-{number}" for number in range(count)}
    chosen = {host for host in hosts if is_topic_watcher(topic, host, hosts - {host})}
    assert len(chosen) == min(count, WATCHERS_PER_TOPIC[topic])


def test_another_host_follows_when_one_does_not_reach_the_store():
    hosts = {f"host-{number}" for number in range(20)}
    chosen = {host for host in hosts if is_topic_watcher(Topic.ROUTES, host, hosts - {host})}
    lost = min(chosen)
    able = hosts - {lost}
    now = {host for host in able if is_topic_watcher(Topic.ROUTES, host, able - {host})}
    assert chosen - {lost} < now
    assert len(now) == WATCHERS_PER_TOPIC[Topic.ROUTES]


def test_a_host_that_hears_nobody_follows_every_topic():
    assert all(is_topic_watcher(topic, "host", ()) for topic in Topic)
