"""One roll-out as a host knows it."""

from dataclasses import dataclass, field, replace

from almondspindle.core.identifiers import TargetName
from almondspindle.core.rollouts import (
    RolloutProgress,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    RouteTally,
    Tally,
)
from almondspindle.decisions.rollout_evidence import Assessment, Verdict
from almondspindle.decisions.rollout_exposure import ExposureLog
from almondspindle.decisions.rollout_orders import KnownOrder

STATES = {
    RolloutStage.COMPLETE: RolloutState.COMPLETE,
    RolloutStage.REVERTED: RolloutState.REVERTED,
}


@dataclass(slots=True)
class Rollout:
    """One roll-out as this host knows it. Times are in seconds on the monotonic clock.

    The order was known to some host at `known_at`, and this host reached `stage` at `stage_at`.
    `tallies` are the host's own, by route and target, and `peers` what others reported. A state
    that differs from the one in the store is written from `write_at` on. `withdrawn` has the
    versions of earlier roll-outs of the service that this one replaced before they were complete.
    """

    name: str
    order: KnownOrder
    known_at: float
    stage_at: float
    stage: RolloutStage = RolloutStage.CANARY
    log: ExposureLog = field(default_factory=ExposureLog)
    tallies: dict[tuple[str, TargetName], Tally] = field(default_factory=dict)
    peers: dict[str, RolloutProgress] = field(default_factory=dict)
    assessment: Assessment = field(default_factory=lambda: Assessment(Verdict.OPEN))
    is_withdrawn: bool = False
    withdrawn: frozenset[str] = frozenset()
    pending: RolloutState | None = None
    write_at: float = 0.0

    @property
    def record(self) -> RolloutRecord:
        """Return the order as it is listed."""
        return self.order.record

    def adopt(self, name: str, record: RolloutRecord, era: int) -> None:
        """Use `record`, listed in `era`, as the order of this roll-out.

        A restored store may lack the state. It is written again, and not by all hosts at once.
        """
        if era > self.order.era:
            self.pending = None
        self.name, self.is_withdrawn = name, False
        self.order = replace(self.order, record=record, era=max(era, self.order.era))

    def own_tallies(self) -> tuple[RouteTally, ...]:
        """Return this host's tallies."""
        return tuple(RouteTally(*key, tally) for key, tally in self.tallies.items())

    def wanted_state(self) -> RolloutState:
        """Return the state that the store should have."""
        return STATES.get(self.stage, RolloutState.RUNNING)

    def not_found_good(self) -> frozenset[str]:
        """Return the versions of this roll-out and earlier ones that no host has found good."""
        if self.stage is RolloutStage.COMPLETE:
            return frozenset()
        return self.withdrawn | {self.record.version}
