"""Roll-outs: orders to move a service's traffic to another version, and their progress."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from almondspindle.core.identifiers import ServiceName, TargetName


class RolloutState(StrEnum):
    """The state of a roll-out that is reported to operators in the store."""

    RUNNING = "running"
    COMPLETE = "complete"
    REVERTED = "reverted"


class RolloutStage(IntEnum):
    """How far a roll-out is on a host. A stage is never left for a lower one."""

    CANARY = 0  # the new version gets a small share of the requests
    SHIFT = 1  # the version is good; its share grows
    CLOSED = 2  # the old version gets no new requests
    COMPLETE = 3  # the old targets stop
    REVERTED = 4  # the new version gets no requests


OUTCOMES = {
    RolloutState.COMPLETE: RolloutStage.COMPLETE,
    RolloutState.REVERTED: RolloutStage.REVERTED,
}


@dataclass(frozen=True, slots=True)
class RolloutKey:
    """The identity of a roll-out. `created` is the store's revision at the order's creation."""

    service: ServiceName
    version: str
    created: int


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """An operator's order to move a service's traffic to `version` within `duration_s` seconds.

    `state` is the one reported in the store for this version, None if there is none yet.
    """

    service: ServiceName
    version: str
    duration_s: float
    created: int = 0
    state: RolloutState | None = None

    @property
    def key(self) -> RolloutKey:
        """Return the identity of the roll-out."""
        return RolloutKey(self.service, self.version, self.created)


@dataclass(frozen=True, slots=True)
class Tally:
    """Counts of responses. `durations` has a histogram of those that were timed.

    Its buckets are those of `decisions.rollout_evidence`.
    """

    responses: int = 0
    failures: int = 0
    durations: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RouteTally:
    """The responses to a route's requests. `target` is empty for all targets of old versions."""

    route: str
    target: TargetName
    tally: Tally


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """What a host, or the hosts of a zone together, know of a roll-out.

    `age_s` is the time since the order was first known, in seconds. `requests` counts those for the
    service since then, and `exposed` those sent to its new version before the verdict. `tallies`
    and both counts are the host's own.
    """

    key: RolloutKey
    age_s: float
    stage: RolloutStage
    requests: int = 0
    exposed: int = 0
    tallies: tuple[RouteTally, ...] = field(default=())


class VersionChoice(StrEnum):
    """The version that a request is for."""

    ANY = "any"
    OLD = "old"
    NEW = "new"


class VersionUse(StrEnum):
    """How the targets of the new version are used."""

    CANARY = "canary"  # a few of them, for the requests assigned to it
    SHIFT = "shift"  # all of them, for the requests assigned to it
    ONLY = "only"  # for all requests, while one of them may take requests
    SPARE = "spare"  # while no other target may take requests
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class VersionRule:
    """How the versions of a service are used.

    `share` is the part of the requests that goes to `version` in the stage of `use`. No target of
    the versions in `withdrawn` is used while others may be.
    """

    version: str
    use: VersionUse
    share: float = 0.0
    withdrawn: frozenset[str] = frozenset()
