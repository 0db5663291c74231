"""When a host asks the store itself whether its copy of a topic is current, whoever watches it.

Few hosts watch a topic, and the others learn of changes from them. Any number of watchers may be
killed, suspended or cut off at once, and nobody says so. So each copy has an age: the time since
the store last confirmed it, to this host or to a peer. A host whose copy gets too old asks the
store. A peer's confirmation counts only if this host's copy has all that the peer's has: its last
known change, and all before the list from which on the peer knows each change.

The load that this answers: hundreds of hosts whose copies become old at the same time. They ask in
turn, and the first answer that is reported makes the others' copies young again. While watches end
as usual, no copy gets so old.
"""

import math

from almondspindle.core.inventory import Topic
from almondspindle.core.node import Bounds

# The age at which the watchers of a topic ask, the next host after them and so on, as shares of the
# time in which a change must be in force.
WATCHER_SHARE = 0.7
SHARE_PER_HOST = 0.05
MAX_SHARE = 0.85
TOPICS_WITH_BOUND = (Topic.ROUTES, Topic.TARGETS, Topic.ZONES)


def max_copy_age_s(topic: Topic, bounds: Bounds, position: int) -> float:
    """Return the age in seconds at which a host asks the store about `topic`.

    `position` is 0 for the topic's watchers, and that of the host after them for all others. The
    age is infinite for a topic whose changes have no time in which they must be in force.
    """
    share = min(WATCHER_SHARE + SHARE_PER_HOST * position, MAX_SHARE)
    return _bound_s(topic, bounds) * share


def may_lack_removals(topic: Topic, age_s: float, bounds: Bounds) -> bool:
    """Return whether to pull a copy of `topic` from a peer that has read a later list.

    The list doesn't show what was removed before it. Of a topic whose changes must be in force in
    time, the host asks the store for it, unless the store hasn't responded for that time.
    """
    return topic not in TOPICS_WITH_BOUND or age_s >= _bound_s(topic, bounds)


def _bound_s(topic: Topic, bounds: Bounds) -> float:
    """Return the time in seconds in which a change of `topic` must be in force."""
    bounds_s = {
        Topic.ROUTES: bounds.config_apply_s,
        Topic.TARGETS: bounds.drain_s,
        Topic.ZONES: bounds.evacuation_s,
    }
    return bounds_s.get(topic, math.inf)
