"""When a roll-out goes on to its next stage.

The load that this answers: versions that are bad at once, later, under load or on one route. A
version stays at its small share for a good part of the time, and each later stage ends at once when
the responses show that it is bad. The times are parts of the duration that the operator gave.
"""

from dataclasses import dataclass

from almondspindle.core.rollouts import RolloutStage
from almondspindle.decisions.rollout_evidence import Assessment, Verdict

EARLIEST_VERDICT = 0.5
LATEST_VERDICT = 0.6
NO_VERDICT = 0.8  # a version without a verdict is reverted, since the rest is too short to move
SHIFT_LENGTH = 0.1
RESERVE = 0.1  # for the write of the status
MIN_RESERVE_S = 1.0
# All hosts of a large fleet learn of a new stage within this time.
SPREAD_S = 1.6
ADOPTION_DELAY_S = 0.5  # between two hosts in rank that may decide or write
MAX_RANK_DELAYS = 6
SHIFT_SHARES = (0.25, 0.5, 1.0)


@dataclass(frozen=True, slots=True)
class RolloutTimes:
    """The age of a roll-out, its duration, and when its stage was reached.

    All are in seconds since the order. `rank` is this host's position among those that may decide.
    """

    age_s: float
    duration_s: float
    stage_at_s: float
    rank: int = 0

    @property
    def rank_delay_s(self) -> float:
        """Return how much later this host decides than the first one does, in seconds."""
        return ADOPTION_DELAY_S * min(self.rank, MAX_RANK_DELAYS)

    @property
    def end_s(self) -> float:
        """Return the age by which the outcome is written."""
        return self.duration_s - max(MIN_RESERVE_S, RESERVE * self.duration_s)


def next_stage(
    stage: RolloutStage, times: RolloutTimes, evidence: Assessment, old_in_flight: int
) -> RolloutStage:
    """Return the stage that follows now, or `stage` if it goes on.

    `old_in_flight` is the number of requests at targets of old versions, over all hosts.
    """
    if stage >= RolloutStage.COMPLETE:
        return stage
    if evidence.verdict is Verdict.BAD:
        return RolloutStage.REVERTED
    return NEXT_STAGES[stage](times, evidence, old_in_flight)


def _after_canary(times: RolloutTimes, evidence: Assessment, old_in_flight: int) -> RolloutStage:
    age_s = times.age_s - times.rank_delay_s
    is_good = age_s >= EARLIEST_VERDICT * times.duration_s and evidence.verdict is Verdict.GOOD
    if is_good or (age_s >= LATEST_VERDICT * times.duration_s and evidence.leans_to_good):
        return RolloutStage.SHIFT
    if age_s >= min(times.end_s, NO_VERDICT * times.duration_s):
        return RolloutStage.REVERTED
    return RolloutStage.CANARY


def _after_shift(times: RolloutTimes, evidence: Assessment, old_in_flight: int) -> RolloutStage:
    shifted_s = times.age_s - times.stage_at_s
    if shifted_s >= SHIFT_LENGTH * times.duration_s or times.age_s >= times.end_s:
        return RolloutStage.CLOSED
    return RolloutStage.SHIFT


def _after_closed(times: RolloutTimes, evidence: Assessment, old_in_flight: int) -> RolloutStage:
    is_drained = times.age_s - times.stage_at_s >= SPREAD_S and not old_in_flight
    if is_drained or times.age_s >= times.end_s + times.rank_delay_s:
        return RolloutStage.COMPLETE
    return RolloutStage.CLOSED


NEXT_STAGES = {
    RolloutStage.CANARY: _after_canary,
    RolloutStage.SHIFT: _after_shift,
    RolloutStage.CLOSED: _after_closed,
}


def shifted_share(times: RolloutTimes) -> float:
    """Return the share of the requests that goes to the new version in the stage `SHIFT`."""
    shifted_s = times.age_s - times.stage_at_s
    step_s = max(0.001, SHIFT_LENGTH * times.duration_s / len(SHIFT_SHARES))
    return SHIFT_SHARES[min(len(SHIFT_SHARES) - 1, int(shifted_s / step_s))]
