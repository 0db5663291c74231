"""Which hosts watch a topic in the store. The other hosts get its changes from them."""

from collections.abc import Collection

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score

# Number of hosts that watch each topic. Four may become unavailable at once: two in each of two
# zones that are lost. Hosts also learn about each other from their reports, so few need to watch
# that topic.
WATCHERS_PER_TOPIC = {Topic.ROUTES: 6, Topic.TARGETS: 6, Topic.ZONES: 6, Topic.HOSTS: 2}


def is_topic_watcher(topic: Topic, host: str, others: Collection[str]) -> bool:
    """Return whether `host` watches `topic`. `others` are the other hosts that reach the store."""
    own = score(topic, host)
    return sum(score(topic, other) > own for other in others) < WATCHERS_PER_TOPIC[topic]
