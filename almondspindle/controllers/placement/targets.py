"""What is known of each target."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.placement.messages import PeerLoads
from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.reports import AttemptCounts
from almondspindle.decisions.error_rate import AttemptLog
from almondspindle.decisions.outlier_ejection import EjectionState

PEER_LOADS_S = 1.5  # several times the interval of the hosts' reports


@dataclass(slots=True)
class Known:
    """One target. Times are in seconds on the monotonic clock."""

    record: TargetRecord
    in_flight: int = 0
    cold_until: float = 0.0
    answered_at: float = -math.inf
    trust: EjectionState = field(default_factory=EjectionState)
    attempts: AttemptLog = field(default_factory=AttemptLog)
    is_failing: bool = False
    sent_cold_at: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class Reported:
    """The loads and failures that another host reported at `at`."""

    at: float
    in_flight: Mapping[TargetName, int]
    failures: Mapping[TargetName, AttemptCounts]


class PeerLoadBook:
    """The loads that the other hosts report; old reports are forgotten."""

    def __init__(self) -> None:
        self._reports: dict[HostName, Reported] = {}
        self._sums: dict[TargetName, int] = {}
        self._summed_at = 0.0

    def put(self, msg: PeerLoads, now: float) -> None:
        """Replace the report of a host."""
        self._reports[msg.host] = Reported(now, msg.in_flight, msg.failures)
        self._sum(now)

    def of(self, target: TargetName, now: float) -> int:
        """Return the requests that the other hosts have in flight at `target`."""
        if now - self._summed_at > PEER_LOADS_S:
            self._sum(now)
        return self._sums.get(target, 0)

    def failures(self, target: TargetName) -> list[AttemptCounts]:
        """Return the other hosts' tallies of `target`."""
        reports = self._reports.values()
        return [report.failures[target] for report in reports if target in report.failures]

    def _sum(self, now: float) -> None:
        self._summed_at = now
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report.at <= PEER_LOADS_S
        }
        sums: dict[TargetName, int] = {}
        for report in self._reports.values():
            for target, count in report.in_flight.items():
                sums[target] = sums.get(target, 0) + count
        self._sums = sums
