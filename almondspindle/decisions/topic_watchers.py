"""Which hosts watch a topic in the store, and for how long. The other hosts get its changes.

The load that this answers: each version of a large manifest is sent to every watcher whole, several
times a second when operators make many changes. So the hosts with the fastest links watch.

Open connections may become unresponsive without a reset, those of all watchers at once. Only a new
watch shows it. So the watches of a topic end in turn, one in each slot, and the hosts learn of what
they missed from the first watcher that has asked again. The number of calls is that of the slots,
however many hosts watch.
"""

from collections.abc import Collection
from dataclasses import dataclass

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score
from almondspindle.decisions.peer_pull import Peer

# Number of hosts that watch each topic. Four may become unavailable at once: two in each of two
# zones that are lost. Hosts also learn about each other from their reports, so few need to watch
# that topic.
WATCHERS_PER_TOPIC = {
    Topic.ROUTES: 6,
    Topic.TARGETS: 6,
    Topic.ZONES: 6,
    Topic.HOSTS: 2,
    Topic.ROLLOUTS: 6,
}
# A change must be in force within two seconds, and takes up to a second to spread in a large fleet.
WATCH_SLOT_S = {
    Topic.ROUTES: 1.0,
    Topic.TARGETS: 1.0,
    Topic.ZONES: 1.0,
    Topic.HOSTS: 2.5,
    Topic.ROLLOUTS: 2.5,  # a roll-out takes many seconds
}
MIN_WATCH_S = 0.3
MAX_WATCH_S = 30.0  # the longest wait that the store accepts


@dataclass(frozen=True, slots=True)
class WatcherGroup:
    """Hosts that divide the watches among themselves: a zone, or a small fleet as a whole.

    `share` is the group's share of all hosts, and `index` its position among `count` groups.
    """

    share: float = 1.0
    index: int = 0
    count: int = 1


WHOLE_FLEET = WatcherGroup()


@dataclass(frozen=True, slots=True)
class WatchTurn:
    """The position of a host among the `count` watchers of a topic in the whole fleet, from 0."""

    position: int
    count: int


def watch_turn(
    topic: Topic, own: Peer, others: Collection[Peer], group: WatcherGroup = WHOLE_FLEET
) -> WatchTurn | None:
    """Return the turn of the host `own` as a watcher of `topic`, or None if it isn't one.

    `others` are the hosts of its group that reach the store and whose reports it gets.
    """
    ahead = _hosts_ahead(topic, own, others)
    wanted = _watchers_wanted(topic, group)
    if ahead >= wanted:
        return None
    count = min(wanted, len(others) + 1)
    return WatchTurn(ahead * group.count + group.index, count * group.count)


def position_after_watchers(
    topic: Topic, own: Peer, others: Collection[Peer], group: WatcherGroup = WHOLE_FLEET
) -> int:
    """Return the position of the host `own` after the watchers of `topic`, 0 if it is one.

    The arguments are those of `watch_turn`.
    """
    return max(0, _hosts_ahead(topic, own, others) - _watchers_wanted(topic, group) + 1)


def watch_wait_s(topic: Topic, turn: WatchTurn, unchanged_s: float) -> float:
    """Return for how long a watch that begins now waits for a change, in seconds.

    `unchanged_s` is the time since the last change, in seconds. It is about the same for all
    watchers, so their watches end in turn.
    """
    slot_s = WATCH_SLOT_S[topic]
    period_s = slot_s * turn.count
    wait_s = (slot_s * (turn.position + 1) - unchanged_s) % period_s
    return min(wait_s if wait_s >= MIN_WATCH_S else wait_s + period_s, MAX_WATCH_S)


def _hosts_ahead(topic: Topic, own: Peer, others: Collection[Peer]) -> int:
    rank = _watcher_rank(topic, own)
    return sum(_watcher_rank(topic, other) > rank for other in others)


def _watchers_wanted(topic: Topic, group: WatcherGroup) -> int:
    return max(1, round(WATCHERS_PER_TOPIC[topic] * group.share))


def _watcher_rank(topic: Topic, peer: Peer) -> tuple[float, int]:
    return peer.link_mbps, score(topic, peer.host)
