"""When a host pulls a topic from a peer instead of waiting for the store, and from which peer.

The load that this answers: a change that all hosts of a large fleet fetch at the same time. Bytes
between zones are dear and the links of most hosts are slow, so a change crosses the border of a
zone a few times only and spreads within the zone from every host that has it.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import NO_REVISION, Revision
from almondspindle.decisions.hashing import score

# The watch on the store normally delivers a change within about 10 ms. After this delay a host that
# watches the topic pulls it from a peer.
WATCHER_PULL_DELAY_S = 0.25
# Hosts that pull from other zones while no peer in their own zone has the change.
DELEGATES_PER_ZONE = 2
# After this delay any host pulls from another zone: the delegates may be unreachable.
CROSS_ZONE_DELAY_S = 0.6
# A sound peer begins its response within some milliseconds. A peer that doesn't in this time is
# silent: its process may be suspended, while its kernel still accepts connections.
RESPONSE_TIMEOUT_S = 0.4
# The same if every peer that is ahead has been silent, as they may all be slow.
LAST_RESORT_TIMEOUT_S = 1.0
SILENCE_TTL_S = 3.0  # after which a peer that was silent is pulled from again like any other


@dataclass(frozen=True, slots=True)
class Peer:
    """A host as the decisions on pulls and watches see it.

    `link_mbps` is the bandwidth of its link in Mbit/s, and `revision` that of its last change of
    the topic in question.
    """

    host: HostName
    address: str
    zone: ZoneName
    link_mbps: float
    revision: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class PullSource:
    """A peer to pull from, and within how many seconds its response must begin."""

    peer: Peer
    response_timeout_s: float = RESPONSE_TIMEOUT_S


def is_pull_due(behind_since: float, is_watcher: bool, now: float) -> bool:
    """Return whether to pull a topic from a peer at `now`.

    `behind_since` is when the topic fell behind, in seconds.
    """
    return now - behind_since >= (WATCHER_PULL_DELAY_S if is_watcher else 0.0)


def zone_delegates(hosts: Iterable[Peer]) -> list[Peer]:
    """Return the delegates of a zone: those of its `hosts` that have the fastest links."""
    return sorted(hosts, key=_delegate_rank, reverse=True)[:DELEGATES_PER_ZONE]


def is_zone_delegate(own: Peer, others: Iterable[Peer]) -> bool:
    """Return whether the host `own` is a delegate of its zone. `others` are hosts that are up."""
    return own in zone_delegates([own, *(peer for peer in others if peer.zone == own.zone)])


def choose_source(
    ahead: Sequence[Peer],
    own: Peer,
    is_delegate: bool,
    behind_s: float,
    rng: Random,
    silent: Mapping[str, float],
) -> PullSource | None:
    """Return the peer to pull a topic from, or None to wait for one in the host's own zone.

    `ahead` are the peers with a newer copy, and `behind_s` is for how long there have been any, in
    seconds. `silent` maps the addresses of peers that did not respond to the last pull to the times
    of those pulls; they are chosen only if no other peer is ahead, the earliest first. Among the
    peers with the newest copy the choice is random, so that no peer is asked by all hosts.
    """
    in_zone = [peer for peer in ahead if peer.zone == own.zone]
    has_silent = any(peer.address in silent for peer in in_zone)
    may_cross = is_delegate or has_silent or behind_s >= CROSS_ZONE_DELAY_S
    sound_in_zone = [peer for peer in in_zone if peer.address not in silent]
    sound = [peer for peer in ahead if peer.address not in silent]
    candidates = sound_in_zone or (sound if may_cross else [])
    if candidates:
        newest = max(peer.revision for peer in candidates)
        return PullSource(rng.choice([peer for peer in candidates if peer.revision == newest]))
    if sound or not (in_zone or may_cross):
        return None
    earliest = min(ahead, key=lambda peer: silent[peer.address])
    return PullSource(earliest, LAST_RESORT_TIMEOUT_S)


def _delegate_rank(peer: Peer) -> tuple[float, int]:
    return peer.link_mbps, score("delegate", peer.host)
