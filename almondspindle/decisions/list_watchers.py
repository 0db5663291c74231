"""Select the hosts that read the platform's list on behalf of all others."""

from collections.abc import Iterable

from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.roster import Host
from almondspindle.decisions.hashing import score
from almondspindle.decisions.ownership import OWNING_STATES

WATCHER_KEY = "platform-list"


def select_list_watchers(hosts: Iterable[Host], zone: ZoneName, count: int) -> list[HostName]:
    """Return the up to `count` hosts of `zone` that read the list, by rendezvous hashing."""
    eligible = [h.name for h in hosts if h.zone == zone and h.state in OWNING_STATES]
    return sorted(eligible, key=lambda name: score(WATCHER_KEY, name), reverse=True)[:count]
