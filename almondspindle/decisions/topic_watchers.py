"""Which hosts follow a topic in the store; the others learn of changes from them."""

from collections.abc import Collection

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score

# Hosts that follow each topic. Two may fall silent at once in each of two zones that are lost.
# Hosts also learn of one another from their reports, so few follow that topic.
WATCHERS_PER_TOPIC = {Topic.ROUTES: 6, Topic.TARGETS: 6, Topic.ZONES: 6, Topic.HOSTS: 2}


def is_topic_watcher(topic: Topic, host: str, others: Collection[str]) -> bool:
    """Return whether `host` follows `topic`. `able` are the other hosts that reach the store."""
    own = score(topic, host)
    return sum(score(topic, other) > own for other in others) < WATCHERS_PER_TOPIC[topic]
