"""How often a host calls the store while its calls fail.

The load that this answers: an outage of the store, in which every host of a large fleet would retry
the calls of every topic several times a second. A few hosts in each group that reports to each
other probe the store often, each with one call at a time. The others pull from their peers what
those read, and call rarely themselves.
"""

from collections.abc import Iterable

from almondspindle.decisions.hashing import score
from almondspindle.decisions.jitter import full_jitter
from almondspindle.decisions.peer_pull import Peer

PROBERS_PER_GROUP = 2
RETRY_BASE_S = 0.1
RETRY_CAP_S = 0.5  # a new configuration must be applied within two seconds
IDLE_RETRY_S = 4.0  # mean interval of the other hosts; they notice by themselves in the end
IDLE_RETRY_SPREAD = 0.5  # fraction of that interval
# After a peer regained the store, every host probes it often for this time.
RECOVERY_PROBE_S = 1.5


def is_store_prober(own: Peer, others: Iterable[Peer]) -> bool:
    """Return whether the host `own`, whose calls to the store fail, probes it often.

    `others` are the other hosts of its group whose calls fail.
    """
    rank = score("store prober", own.host)
    return sum(score("store prober", peer.host) > rank for peer in others) < PROBERS_PER_GROUP


def retry_delay_s(is_prober: bool, failures: int, random_number: float) -> float:
    """Return the time from a failed call to the next one, in seconds.

    `failures` is the number of failed calls in a row, and `random_number` is from 0 to 1.
    """
    if is_prober:
        return max(RETRY_BASE_S, full_jitter(failures, RETRY_BASE_S, RETRY_CAP_S, random_number))
    return IDLE_RETRY_S * (1.0 + IDLE_RETRY_SPREAD * (2.0 * random_number - 1.0))
