"""The paces of targets that have started or recovered, as this host and its peers observe them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.core.events import PACE_BEGUN, PACE_ENDED, PACE_REDUCED
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.logs import emit
from almondspindle.core.metrics import PACED, MetricSender
from almondspindle.core.placements import AttemptReport
from almondspindle.core.reports import AttemptCounts
from almondspindle.decisions.target_pace import (
    Pace,
    PaceCause,
    after_responses,
    begin_pace,
    is_late,
    is_pace_over,
)

NO_COUNTS = AttemptCounts(0, 0)


@dataclass(slots=True)
class _PacedTarget:
    """A pace, this host's counts since it began, and the highest counts of each other source."""

    pace: Pace
    own: AttemptCounts = NO_COUNTS
    sources: dict[str, AttemptCounts] = field(default_factory=dict)


class PaceTable:
    """The paced targets. `errors` of the counts are the responses that were late or failed.

    Targets of a service are paced if `paces_all` is set, or if one of them has stated how long work
    takes on its machine.
    """

    def __init__(self, paces_all: bool, metrics: MetricSender) -> None:
        self.paces_all = paces_all
        self._metrics = metrics
        self._services: set[ServiceName] = set()
        self._paced: dict[TargetName, _PacedTarget] = {}

    def begin(self, record: TargetRecord, cause: PaceCause, now: float) -> None:
        """Pace a target from now on, if its service is paced."""
        if not self.paces_all and record.service not in self._services:
            return
        pace = begin_pace(cause, record.slots, now)
        if is_pace_over(pace, now):
            return
        self._paced[record.name] = _PacedTarget(pace)
        self._metrics.count(PACED)
        emit(PACE_BEGUN, target=record.name, cause=cause, limit=pace.limit, slots=record.slots)

    def remove(self, target: TargetName) -> None:
        """Remove a target that is no longer listed."""
        self._paced.pop(target, None)

    def targets_at_limit(self, loads: Mapping[TargetName, float]) -> set[TargetName]:
        """Return the targets that may get no request, by their requests in flight from all hosts.

        `loads` has those of the targets of a service.
        """
        return {
            name
            for name, paced in self._paced.items()
            if name in loads and loads[name] >= paced.pace.limit
        }

    def record(
        self, record: TargetRecord, report: AttemptReport, objective_s: float, now: float
    ) -> None:
        """Count the end of an attempt of this host."""
        if report.occupancy is not None and report.occupancy.slowness is not None:
            self._services.add(record.service)
        paced, late = self._paced.get(record.name), is_late(report, objective_s)
        if paced is None or late is None:
            return
        paced.own = AttemptCounts(paced.own.attempts + 1, paced.own.errors + late)
        self._advance(record.name, paced, AttemptCounts(1, int(late)), now)

    def counts(self) -> dict[TargetName, AttemptCounts]:
        """Return this host's counts of the paced targets."""
        return {name: paced.own for name, paced in self._paced.items() if paced.own.attempts}

    def add_peer_counts(
        self, source: str, counts: Mapping[TargetName, AttemptCounts], now: float
    ) -> None:
        """Add what `source` has counted since its last report: a host, or all other zones."""
        for target, reported in counts.items():
            paced = self._paced.get(target)
            if paced is None:
                continue
            known = paced.sources.get(source, NO_COUNTS)
            highest = AttemptCounts(
                max(known.attempts, reported.attempts), max(known.errors, reported.errors)
            )
            paced.sources[source] = highest
            added = AttemptCounts(highest.attempts - known.attempts, highest.errors - known.errors)
            if added.attempts:
                self._advance(target, paced, added, now)

    def end_overdue(self, now: float) -> None:
        """End the paces that have lasted too long."""
        for target in [n for n, paced in self._paced.items() if is_pace_over(paced.pace, now)]:
            self._end(target, now)

    def _advance(
        self, target: TargetName, paced: _PacedTarget, added: AttemptCounts, now: float
    ) -> None:
        before = paced.pace
        paced.pace = after_responses(before, added.attempts, added.errors, now)
        if paced.pace.limit < before.limit:
            emit(PACE_REDUCED, target=target, limit=round(paced.pace.limit, 1), late=before.late)
        if is_pace_over(paced.pace, now):
            self._end(target, now)

    def _end(self, target: TargetName, now: float) -> None:
        pace = self._paced.pop(target).pace
        emit(
            PACE_ENDED,
            target=target,
            cause=pace.cause,
            limit=round(pace.limit, 1),
            took_s=round(now - pace.began_at, 2),
        )
