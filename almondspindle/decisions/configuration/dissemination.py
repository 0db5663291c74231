"""Choose the hosts that watch the store, and the peers to which a host pushes a new version.

A new version is pushed down a tree over all hosts that are not dead. The watching hosts are its
roots. The order of the hosts differs from version to version, which distributes the work of the
inner nodes. While hosts disagree on who is a member, the tree can leave some of them out. Pushes to
random peers and a periodic pull reach those hosts.
"""

from collections.abc import Iterable, Sequence

from almondspindle.core.identifiers import HostName
from almondspindle.core.roster import Host, HostState
from almondspindle.decisions.hashing import score

WATCHERS_PER_ZONE = 2  # hosts
TREE_FANOUT = 3  # peers
RANDOM_PEERS = 1  # peers, in addition to the children in the tree
WATCHER_HASH_KEY = "configuration-watch"

REACHABLE_STATES = frozenset(set(HostState) - {HostState.DEAD})


def watching_hosts(hosts: Iterable[Host], per_zone: int = WATCHERS_PER_ZONE) -> list[HostName]:
    """Return the hosts that watch the store: the top ones of each zone by rendezvous hashing."""
    by_zone: dict[str, list[Host]] = {}
    for host in hosts:
        if host.state is HostState.LIVE:
            by_zone.setdefault(host.zone, []).append(host)
    watching = []
    for members in by_zone.values():
        ranked = sorted(members, key=lambda host: score(WATCHER_HASH_KEY, host.name), reverse=True)
        watching += [host.name for host in ranked[:per_zone]]
    return watching


def is_watching(own: HostName, hosts: Sequence[Host]) -> bool:
    """Return whether host `own` watches the store.

    A host that is not listed as live watches too, so that it still receives new versions.
    """
    listed = {host.name for host in hosts if host.state is HostState.LIVE}
    return own not in listed or own in watching_hosts(hosts)


def push_order(version: int, hosts: Sequence[Host]) -> list[Host]:
    """Return the reachable hosts in the tree order of `version`, the watching hosts first."""
    roots = set(watching_hosts(hosts))
    reachable = [host for host in hosts if host.state in REACHABLE_STATES]
    key = str(version)
    return sorted(
        reachable, key=lambda host: (host.name not in roots, score(key, host.name), host.name)
    )


def push_peers(version: int, own: HostName, hosts: Sequence[Host], random_index: int) -> list[Host]:
    """Return the peers to which `own` pushes `version`.

    `random_index` is a random number that selects the peers besides the children in the tree.
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
