"""Which host owns a target: rendezvous hashing over the live hosts of the target's zone."""

from collections.abc import Iterable

from almondspindle.core.roster import Host, HostState, Target
from almondspindle.decisions.hashing import score

# A suspect host keeps what it owns until membership declares it dead, so that one lost probe
# moves nothing.
OWNING_STATES = frozenset({HostState.LIVE, HostState.SUSPECT})


def owner_of(target: Target, hosts: Iterable[Host]) -> Host | None:
    """Return the host that owns `target`, or None when no host can own it.

    Hosts of the target's own zone go before all others.
    """
    able = [host for host in hosts if host.state in OWNING_STATES]
    near = [host for host in able if host.zone == target.zone]
    return max(near or able, key=lambda host: score(target.name, host.name), default=None)
