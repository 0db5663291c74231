"""State of the targets, as this host and its peers observe them."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.controllers.placement.messages import PeerLoadsReported
from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.reports import AttemptCounts
from almondspindle.decisions.error_rate import AttemptLog
from almondspindle.decisions.outlier_ejection import EjectionState

PEER_REPORT_TTL_S = 1.5  # several report intervals


@dataclass(slots=True)
class Load:
    """The requests in flight at a target, for as long as it lives, listed or not."""

    in_flight: int = 0


@dataclass(slots=True)
class TrackedTarget:
    """State of one target. Times are in seconds on the monotonic clock.

    `load` is that of this host's requests only. `cold_requests_at` has the times of this host's
    requests to the target while it was cold. `is_leaving` is set if the target says that it is
    leaving, in its record or in a response. Other targets may copy prompts from it until
    `copies_until`. It gets nothing until `paused_until`, since it asked this host for a pause.
    """

    record: TargetRecord
    load: Load = field(default_factory=Load)
    cold_until: float = 0.0
    last_response_at: float = -math.inf
    ejection: EjectionState = field(default_factory=EjectionState)
    attempts: AttemptLog = field(default_factory=AttemptLog)
    has_high_error_rate: bool = False
    cold_requests_at: deque[float] = field(default_factory=deque)
    is_leaving: bool = False
    copies_until: float = math.inf
    paused_until: float = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of this host's requests in flight."""
        return self.load.in_flight


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Another host's requests in flight and recent attempts, by target.

    `failures` has only the targets at which some of the attempts failed. `received_at` is in
    seconds on the monotonic clock.
    """

    received_at: float
    in_flight: Mapping[TargetName, int]
    failures: Mapping[TargetName, AttemptCounts]


class PeerReportTable:
    """Latest report of each other host, and the sum of their requests in flight per target.

    Reports older than `PEER_REPORT_TTL_S` are dropped whenever the sums are updated: when a report
    is received, and when `in_flight` finds sums that are older than that.
    """

    def __init__(self) -> None:
        self._reports: dict[HostName, PeerReport] = {}
        self._in_flight: dict[TargetName, int] = {}
        self._summed_at = 0.0

    def replace(self, msg: PeerLoadsReported, now: float) -> None:
        """Replace the previous report of the host that sent `msg`."""
        self._reports[msg.host] = PeerReport(now, msg.in_flight, msg.failures)
        self._update_sums(now)

    def in_flight(self, target: TargetName, now: float) -> int:
        """Return how many requests the other hosts have in flight at `target`."""
        if now - self._summed_at > PEER_REPORT_TTL_S:
            self._update_sums(now)
        return self._in_flight.get(target, 0)

    def failures(self, target: TargetName) -> list[AttemptCounts]:
        """Return the attempt counts of `target` from each peer whose attempts there failed."""
        reports = self._reports.values()
        return [report.failures[target] for report in reports if target in report.failures]

    def _update_sums(self, now: float) -> None:
        self._summed_at = now
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report.received_at <= PEER_REPORT_TTL_S
        }
        sums: dict[TargetName, int] = {}
        for report in self._reports.values():
            for target, count in report.in_flight.items():
                sums[target] = sums.get(target, 0) + count
        self._in_flight = sums
