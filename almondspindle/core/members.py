"""What routers tell each other about hosts, targets and load, and the timings they keep."""

from dataclasses import dataclass, replace

from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.roster import Host, HostState, Target

# At the same boot and incarnation the record with the higher rank replaces the other one.
STATE_RANK = {
    HostState.LIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One statement about a host.

    `boot` is the wall time of the process's start in milliseconds, so a restart ranks above
    all that was said before it. Only the host itself raises `incarnation`, to refute a
    suspicion. A host that only the platform's list has shown has boot 0.
    """

    name: HostName
    zone: ZoneName
    address: str
    boot: int = 0
    incarnation: int = 0
    state: HostState = HostState.LIVE

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the key by which a later statement replaces an earlier one."""
        return (self.boot, self.incarnation, STATE_RANK[self.state])

    def with_state(self, state: HostState) -> "MemberRecord":
        """Return the same statement with another state."""
        return replace(self, state=state)

    def to_host(self, state: HostState) -> Host:
        """Return the roster's entry for this host, in `state`."""
        return Host(self.name, self.zone, self.address, state)


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One statement about a target: what the platform's list showed, or None when removed.

    `stamp` is the wall time of the reading in milliseconds; the higher one replaces the other.
    """

    name: TargetName
    target: Target | None
    stamp: int


@dataclass(frozen=True, slots=True)
class ServiceLoadSummary:
    """A service's part of a digest. `service_id` is the short id of the service's name."""

    service_id: int
    in_flight: int
    targets: int
    cold: int


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The sums of a host over the targets it owns, or of a zone over its hosts.

    `subject_id` is the short id of the host or zone, `age_s` the age in seconds when sent.
    """

    subject_id: int
    age_s: float
    services: tuple[ServiceLoadSummary, ...]


@dataclass(frozen=True, slots=True)
class Gossip:
    """What a probe and its acknowledgement carry.

    `targets_sum` and `members_sum` are checksums of the target list and of the host table, by
    which two hosts see that theirs differ. `digests` are of hosts of the own zone.
    """

    sender: MemberRecord
    config_version: int = 0
    targets_checksum: int = 0
    members_checksum: int = 0
    members: tuple[MemberRecord, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    digests: tuple[LoadDigest, ...] = ()
    zone_digests: tuple[LoadDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipTimings:
    """The timings and bounds of membership. Times are in seconds."""

    period_s: float = 1.0
    probe_timeout_s: float = 0.4
    indirect_probe_timeout_s: float = 0.5
    host_table_timeout_s: float = 2.0
    indirect_probe_count: int = 3
    suspicion_periods: float = 4.0
    flap_window_s: float = 300.0
    flap_allowance: int = 2
    flap_hold_s: float = 10.0
    flap_hold_max_s: float = 300.0
    forget_unlisted_s: float = 60.0
    forget_dead_s: float = 7_200.0
    list_interval_s: float = 1.0
    list_watchers: int = 2
    list_mismatch_s: float = 15.0
    leave_timeout_s: float = 5.0
