"""The rules with time bounds: what hosts in touch may do after the store acknowledged a change.

A host is in touch if for the whole stable window it ran, reached the store, and the store worked.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

STABLE_WINDOW_S = 3.0
CONFIG_S = 2.0
DRAIN_S = 2.0  # after which a host sends nothing to a replica that leaves
EVACUATION_S = 5.0
COLD_RATE_MULTIPLE, COLD_SLACK = 1.5, 5
# Of these rules only acknowledgements count that the store gave while it was stable.
ACKNOWLEDGED_WHILE_STABLE = frozenset({"DRAIN"})
REFUSED_AS_UNKNOWN = frozenset({401, 403, 404})
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class Span:
    """A time from `begin` to `end`, in seconds since the start of the run."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether this time and that from `begin` to `end` have a moment in common."""
        return self.begin <= end and begin <= self.end


@dataclass(frozen=True, slots=True)
class Exclusion:
    """From `span.begin`, when the store acknowledged it, `replicas` get nothing after `bound_s`."""

    rule: str
    replicas: frozenset[str]
    span: Span
    bound_s: float


@dataclass(frozen=True, slots=True)
class Probe:
    """A request at `host` that only configuration `version` routes, and its status."""

    host: str
    version: int
    sent_at: float
    received_at: float
    status: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that `host` got from a caller at `sent_at`, and `replica` at `arrived_at`."""

    host: str
    replica: str
    sent_at: float
    arrived_at: float


@dataclass
class FleetRecord:
    """What was done to the hosts, the store and the replicas, and when.

    `versions` has when each configuration was written. `cold` has the replicas that began a
    lifetime, until they were warm.
    """

    hosts: list[tuple[str, Span]] = field(default_factory=list)
    store: list[Span] = field(default_factory=list)
    replicas: list[tuple[str, Span]] = field(default_factory=list)
    exclusions: list[Exclusion] = field(default_factory=list)
    cold: list[tuple[str, Span]] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    probes: list[Probe] = field(default_factory=list)

    def is_in_touch(self, host: str, begin: float, end: float) -> bool:
        """Return whether `host` was in touch at all times from `begin` to `end`."""
        spans = [span for name, span in self.hosts if name == host] + self.store
        return not any(span.overlaps(begin - STABLE_WINDOW_S, end) for span in spans)

    def _was_stable(self, at: float) -> bool:
        return not any(span.overlaps(at - STABLE_WINDOW_S, at) for span in self.store)

    def _is_held_up(self, replica: str, begin: float, end: float) -> bool:
        spans = [span for name, span in self.replicas if name == replica]
        return any(span.overlaps(begin - STABLE_WINDOW_S, end) for span in spans)

    def check(self, arrivals: list[Arrival], cold_per_s: float, checked: Counter[str]) -> list[str]:
        """Return a line for each violation. Count the requests that each rule was applied to."""
        return [
            *self._check_config(checked),
            *(line for each in self.exclusions for line in self._check(each, arrivals, checked)),
            *(self._check_cold(arrivals, cold_per_s, checked) if cold_per_s else ()),
        ]

    def _check_config(self, checked: Counter[str]) -> Iterable[str]:
        for probe in self.probes:
            bound = [v for v, at in self.versions.items() if probe.sent_at > at + CONFIG_S]
            if not bound or not self.is_in_touch(probe.host, probe.sent_at, probe.received_at):
                continue
            checked["CONFIG"] += 1
            oldest = max(bound)
            newest = max(v for v, at in self.versions.items() if at <= probe.received_at)
            is_dropped = probe.version < oldest and probe.status == HTTP_OK
            is_missing = probe.version == oldest == newest and probe.status in REFUSED_AS_UNKNOWN
            if is_dropped or is_missing:
                yield (
                    f"CONFIG: host {probe.host} answered {probe.status} at {probe.sent_at:.2f} s "
                    f"for version {probe.version}, {oldest} is from {self.versions[oldest]:.2f} s"
                )

    def _check(
        self, told: Exclusion, arrivals: list[Arrival], checked: Counter[str]
    ) -> Iterable[str]:
        acked_at, end = told.span.begin, told.span.end
        begin = acked_at + told.bound_s
        if told.rule in ACKNOWLEDGED_WHILE_STABLE and not self._was_stable(acked_at):
            return
        for each in arrivals:
            if not self.is_in_touch(each.host, each.sent_at, each.arrived_at):
                continue
            if not begin < each.arrived_at < end:
                continue
            checked[told.rule] += 1
            is_held_up = self._is_held_up(each.replica, each.sent_at, each.arrived_at)
            if each.replica in told.replicas and not is_held_up:
                yield (
                    f"{told.rule}: {each.replica} got a request from host {each.host} at "
                    f"{each.arrived_at:.2f} s, acknowledged at {told.span.begin:.2f} s"
                )

    def _check_cold(
        self, arrivals: list[Arrival], cold_per_s: float, checked: Counter[str]
    ) -> Iterable[str]:
        allowed = cold_per_s * COLD_RATE_MULTIPLE + COLD_SLACK
        for replica, cold in self.cold:
            of_replica = [a for a in arrivals if a.replica == replica]
            for first in of_replica:
                until = first.sent_at + 1.0
                if first.sent_at < cold.begin or until > cold.end:
                    continue
                checked["FAILBACK"] += 1
                count = sum(
                    first.sent_at <= a.sent_at and a.arrived_at <= until for a in of_replica
                )
                if count > allowed:
                    yield (
                        f"FAILBACK: {replica}, cold from {cold.begin:.2f} s, got {count} requests "
                        f"in the second from {first.sent_at:.2f} s"
                    )
