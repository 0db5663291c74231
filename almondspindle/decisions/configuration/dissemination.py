"""Who watches the store, and to whom a router passes a new version on.

The hosts that watch are the roots of one tree over all live hosts, laid out anew for each version
so that the work of inner nodes moves about. Hosts whose views differ for a while may be left out by
the tree; a few random peers and a periodic pull reach those.
"""

from collections.abc import Iterable, Sequence

from almondspindle.core.identifiers import HostName
from almondspindle.core.roster import Host, HostState
from almondspindle.decisions.hashing import score

WATCHERS_PER_ZONE = 2  # hosts
TREE_FANOUT = 3  # peers
RANDOM_PEERS = 1  # peers, besides those of the tree
WATCHER_HASH_KEY = "configuration-watch"

REACHABLE_STATES = frozenset(set(HostState) - {HostState.DEAD})


def watching_hosts(hosts: Iterable[Host], per_zone: int = WATCHERS_PER_ZONE) -> list[HostName]:
    """Return the hosts that watch the store: the first of each zone by rendezvous hashing."""
    by_zone: dict[str, list[Host]] = {}
    for host in hosts:
        if host.state is HostState.LIVE:
            by_zone.setdefault(host.zone, []).append(host)
    chosen = []
    for members in by_zone.values():
        ranked = sorted(members, key=lambda host: score(WATCHER_HASH_KEY, host.name), reverse=True)
        chosen += [host.name for host in ranked[:per_zone]]
    return chosen


def is_watching(own: HostName, hosts: Sequence[Host]) -> bool:
    """Return whether host `own` watches. A host that is not listed does, to learn of any."""
    listed = {host.name for host in hosts if host.state is HostState.LIVE}
    return own not in listed or own in watching_hosts(hosts)


def push_order(version: int, hosts: Sequence[Host]) -> list[Host]:
    """Return the hosts in the order of the tree for `version`, the watching ones first."""
    roots = set(watching_hosts(hosts))
    reachable = [host for host in hosts if host.state in REACHABLE_STATES]
    key = str(version)
    return sorted(
        reachable, key=lambda host: (host.name not in roots, score(key, host.name), host.name)
    )


def push_peers(version: int, own: HostName, hosts: Sequence[Host], random_index: int) -> list[Host]:
    """Return the peers to which `own` passes `version` on.

    `pick` is a random number that chooses the peers besides those of the tree.
    """
    order = push_order(version, hosts)
    names = [host.name for host in order]
    others = [host for host in order if host.name != own]
    extra = [others[(random_index + step) % len(others)] for step in range(RANDOM_PEERS) if others]
    if own not in names:
        return extra
    roots = len(watching_hosts(hosts)) or 1
    first = roots + names.index(own) * TREE_FANOUT
    children = order[first : first + TREE_FANOUT]
    return children + [host for host in extra if host not in children]
