"""Which hosts watch a topic in the store. The other hosts get its changes from them.

The load that this answers: each version of a large manifest is sent to every watcher whole, several
times a second when operators make many changes. So the hosts with the fastest links watch.
"""

from collections.abc import Collection

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score
from almondspindle.decisions.peer_pull import Peer

# Number of hosts that watch each topic. Four may become unavailable at once: two in each of two
# zones that are lost. Hosts also learn about each other from their reports, so few need to watch
# that topic.
WATCHERS_PER_TOPIC = {Topic.ROUTES: 6, Topic.TARGETS: 6, Topic.ZONES: 6, Topic.HOSTS: 2}


def is_topic_watcher(
    topic: Topic, own: Peer, others: Collection[Peer], fleet_share: float = 1.0
) -> bool:
    """Return whether the host `own` watches `topic`.

    `others` are the hosts that reach the store, among those whose reports `own` gets. `fleet_share`
    is the share of all hosts that report to each other so; each such group has its own watchers.
    """
    rank = _watcher_rank(topic, own)
    ahead = sum(_watcher_rank(topic, other) > rank for other in others)
    return ahead < max(1, round(WATCHERS_PER_TOPIC[topic] * fleet_share))


def _watcher_rank(topic: Topic, peer: Peer) -> tuple[float, int]:
    return peer.link_mbps, score(topic, peer.host)
