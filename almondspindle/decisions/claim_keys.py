"""Map idempotency keys to store objects and writing hosts, and check the age of keys."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from uuid import UUID

from almondspindle.core.claims import KeyScope
from almondspindle.core.roster import Host
from almondspindle.decisions.hashing import score
from almondspindle.decisions.idempotency_keys import key_created_at_s
from almondspindle.decisions.ownership import OWNING_STATES

# These three constants determine which object holds a key's record. Hosts with different values
# would use different objects. To change one, use a new name prefix and pause commits for one
# retention window.
SHARDS = 4
SEGMENT_S = 2  # seconds of key time in one segment
BUCKET_S = 3600  # seconds of key time under one name prefix, the unit of deletion

DIGEST_BYTES = 16
MAX_SKEW_S = 60.0  # largest accepted difference between the clocks of callers and hosts
MAX_RETENTION_S = 172_800.0  # upper bound of a service's own retention window


class KeyAge(StrEnum):
    """How the time in a key relates to its retention window."""

    IN_TIME = "in time"
    EXPIRED = "expired"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class Segment:
    """The claims of one shard whose keys were created within the same `SEGMENT_S` seconds."""

    shard: int
    index: int

    def object_name(self, part: int) -> str:
        """Return the name of the store object that holds part number `part`."""
        bucket = self.index * SEGMENT_S // BUCKET_S
        return f"{bucket_prefix(self.shard, bucket)}{self.index}.{part}"


def bucket_prefix(shard: int, bucket: int) -> str:
    """Return the common name prefix of a shard's objects in one time bucket."""
    return f"claims/{shard}/{bucket}/"


def key_digest(scope: KeyScope) -> bytes:
    """Return a digest that identifies a key within its team and service."""
    text = f"{scope.team}\x00{scope.service}\x00{scope.key}"
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return a digest that is equal for equal requests."""
    head = f"{method}\x00{path}\x00".encode()
    return hashlib.sha256(head + body).digest()[:DIGEST_BYTES]


def segment_of(scope: KeyScope) -> Segment:
    """Return the segment of a key. It depends on `scope` alone, so all hosts agree on it."""
    shard = int.from_bytes(key_digest(scope)[:4]) % SHARDS
    return Segment(shard, int(key_created_at_s(UUID(scope.key))) // SEGMENT_S)


def key_age(key: str, retention_s: float, wall_now: float) -> KeyAge:
    """Return how old `key` is at `wall_now` (seconds since the Unix epoch).

    The retention window begins at the time in the key and never exceeds `MAX_RETENTION_S`.
    """
    age_s = wall_now - key_created_at_s(UUID(key))
    if age_s < -MAX_SKEW_S:
        return KeyAge.FUTURE
    if age_s > min(retention_s, MAX_RETENTION_S):
        return KeyAge.EXPIRED
    return KeyAge.IN_TIME


def is_deletable(bucket: int, wall_now: float) -> bool:
    """Return whether no host can still admit a key of `bucket`.

    The clocks of caller and host may each be off by `MAX_SKEW_S`.
    """
    last_key_at = (bucket + 1) * BUCKET_S
    return wall_now > last_key_at + MAX_RETENTION_S + 2 * MAX_SKEW_S


def shard_hosts(shard: int, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts that may write a shard's claims, the owner of the shard first."""
    eligible = [host for host in hosts if host.state in OWNING_STATES]
    return sorted(eligible, key=lambda host: score(f"claims/{shard}", host.name), reverse=True)
