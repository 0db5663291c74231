"""The gossip of routers about hosts, targets and load, and the timings of membership."""

from dataclasses import dataclass, replace

from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.roster import Host, HostState, Target

# Of two records with the same boot and incarnation, the one with the higher rank is kept.
STATE_RANK = {
    HostState.LIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The state of a host as disseminated by gossip.

    `boot` is the wall time at which the host's process started, in milliseconds, so that records
    from after a restart supersede all earlier ones. It is 0 for a host that is known only from the
    platform's list. `incarnation` orders the records of one boot. The host itself raises it, for
    example to refute a suspicion; for a host known only from the list, a new address raises it.
    """

    name: HostName
    zone: ZoneName
    address: str
    boot: int = 0
    incarnation: int = 0
    state: HostState = HostState.LIVE

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the sort key: the record with the highest rank supersedes the others."""
        return (self.boot, self.incarnation, STATE_RANK[self.state])

    def with_state(self, state: HostState) -> "MemberRecord":
        """Return a copy of the record with `state`."""
        return replace(self, state=state)

    def to_host(self, state: HostState) -> Host:
        """Return the roster entry for this host, with `state`."""
        return Host(self.name, self.zone, self.address, state)


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as read from the platform's list. `target` is None if it was removed.

    `stamp` is the wall time of the read in milliseconds, raised where necessary to exceed the
    stamp of the entry that it supersedes. The entry with the higher stamp supersedes the other.
    """

    name: TargetName
    target: Target | None
    stamp: int


@dataclass(frozen=True, slots=True)
class ServiceLoadSummary:
    """The load of one service in a digest. `service_id` is a short hash of the service's name.

    `in_flight` counts requests, `targets` all targets and `cold` those in slow start.
    """

    service_id: int
    in_flight: int
    targets: int
    cold: int


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The load of a host's targets, or of all hosts of a zone, by service.

    `subject_id` is a short hash of the name of the host or zone. `age_s` is the age of the data
    in seconds at the time of sending.
    """

    subject_id: int
    age_s: float
    services: tuple[ServiceLoadSummary, ...]


@dataclass(frozen=True, slots=True)
class Gossip:
    """The payload of a probe and of its acknowledgement.

    `targets_checksum` and `members_checksum` are checksums of the target list and the host table,
    by which two hosts detect that theirs differ. `digests` are those of hosts in the same zone,
    `zone_digests` those of entire zones.
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
    """The timings and limits of membership. Times are in seconds.

    `period_s` is the time between probes. `indirect_probe_count` is the number of other hosts
    that probe a host which did not acknowledge a direct probe. A suspicion lasts for at least
    `suspicion_periods` periods. A host that returns more than `flap_allowance` times within
    `flap_window_s` owns no targets for `flap_hold_s`, doubled with each further return up to
    `flap_hold_max_s`. Dead hosts are removed from the table after `forget_dead_s`, or after
    `forget_unlisted_s` if the platform's list no longer contains them. `list_watchers` is the
    number of hosts of a zone that read the list. A target list or host table that differs from
    that of every peer for `list_mismatch_s` is read again in full.
    """

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
