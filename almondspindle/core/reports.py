"""Reports that hosts send to each other several times a second."""

from dataclasses import dataclass, field

from almondspindle.core.crashes import CrashNews
from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.inventory import Revision
from almondspindle.core.placements import TargetLife
from almondspindle.core.rollouts import RolloutProgress


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """The number of recent attempts at a target, and how many of them failed."""

    attempts: int
    errors: int


@dataclass(frozen=True, slots=True)
class StoreContact:
    """The time in which no call to the store failed, and the age of its last response, in s."""

    unbroken_s: float
    response_age_s: float


@dataclass(frozen=True, slots=True)
class HostReport:
    """The state of the host at peer address `address`.

    `number` is the sequence number of the report. `reaches_store` tells whether the host's calls
    to the store succeed. `revisions` maps each topic's name to the store revision of its last
    known change, `known_from` to the revision from which on the host knows all changes, if that is
    a later one, and `ages_s` to the time since the store last confirmed the host's copy, in
    seconds. `in_flight` counts the host's requests at each target, and `failures` has the targets
    at which attempts failed. `link_mbps` is the bandwidth of the host's link in Mbit/s, 0
    if it is unknown. `contact` describes the host's contact with the store, None without any.
    `crashes` is what the host knows of crashes of targets, its own and those of other hosts, and
    `leaving` has the targets of which it has learned recently that they are leaving. `rollouts` is
    what it knows of roll-outs, with its own counts of responses. `paced` has its responses, and the
    late ones among them, of targets that have started or recovered.
    """

    host: HostName
    address: str
    number: int
    zone: ZoneName
    link_mbps: float = 0.0
    reaches_store: bool = True
    contact: StoreContact | None = None
    revisions: dict[str, Revision] = field(default_factory=dict)
    ages_s: dict[str, float] = field(default_factory=dict)
    in_flight: dict[TargetName, int] = field(default_factory=dict)
    failures: dict[TargetName, AttemptCounts] = field(default_factory=dict)
    crashes: CrashNews | None = None
    leaving: tuple[TargetLife, ...] = ()
    rollouts: tuple[RolloutProgress, ...] = ()
    paced: dict[TargetName, AttemptCounts] = field(default_factory=dict)
    known_from: dict[str, Revision] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """The loads of all hosts of a zone, which its delegate `host` sends to those of other zones.

    `in_flight`, `failures`, `paced` and the counts in `rollouts` are sums over the zone's hosts;
    `revisions`, `known_from`, `ages_s`, `crashes` and `leaving` are the delegate's own.
    """

    host: HostName
    address: str
    zone: ZoneName
    revisions: dict[str, Revision] = field(default_factory=dict)
    ages_s: dict[str, float] = field(default_factory=dict)
    in_flight: dict[TargetName, int] = field(default_factory=dict)
    failures: dict[TargetName, AttemptCounts] = field(default_factory=dict)
    crashes: CrashNews | None = None
    leaving: tuple[TargetLife, ...] = ()
    rollouts: tuple[RolloutProgress, ...] = ()
    paced: dict[TargetName, AttemptCounts] = field(default_factory=dict)
    known_from: dict[str, Revision] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OutsideReport:
    """The loads of all other zones, which a delegate sends to the hosts of its own zone.

    `sender` is the delegate's own report.
    """

    sender: HostReport
    in_flight: dict[TargetName, int] = field(default_factory=dict)
    failures: dict[TargetName, AttemptCounts] = field(default_factory=dict)
    rollouts: tuple[RolloutProgress, ...] = ()
    paced: dict[TargetName, AttemptCounts] = field(default_factory=dict)


Report = HostReport | ZoneReport | OutsideReport
