"""What an entry does after an attempt at a request has failed."""

from enum import StrEnum

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import RefusalCode, RunState

MAX_ROUNDS = 4  # passes over the candidates, the first one included
ROUND_BASE_S = 0.05
ROUND_CAP_S = 0.5
RETRY_BASE_S = 0.02
RETRY_CAP_S = 0.25
FULL_RETRY_AFTER_S = 1.0


class NextStep(StrEnum):
    """What follows a failed attempt."""

    REDIRECT = "redirect"  # the next candidate at once, outside the budget
    RETRY = "retry"  # the next candidate after a wait, if the budget covers it
    GIVE_UP = "give up"


class Stage(StrEnum):
    """How far a failed attempt got."""

    NOT_SENT = "not sent"
    MAYBE_SENT = "maybe sent"
    RESPONDING = "answering"


# A redirect reached no target, so it adds no load there, and the candidates bound their number.
# Charging them would fail requests just when an availability zone goes and budgets run dry.
STEP_BY_STAGE: dict[tuple[WorkKind, Stage], NextStep] = {
    (WorkKind.CHAT, Stage.NOT_SENT): NextStep.REDIRECT,
    (WorkKind.CHAT, Stage.MAYBE_SENT): NextStep.RETRY,
    (WorkKind.CHAT, Stage.RESPONDING): NextStep.GIVE_UP,
    (WorkKind.READ, Stage.NOT_SENT): NextStep.REDIRECT,
    (WorkKind.READ, Stage.MAYBE_SENT): NextStep.RETRY,
    (WorkKind.READ, Stage.RESPONDING): NextStep.GIVE_UP,
    (WorkKind.COMMIT, Stage.NOT_SENT): NextStep.REDIRECT,
    (WorkKind.COMMIT, Stage.MAYBE_SENT): NextStep.GIVE_UP,
    (WorkKind.COMMIT, Stage.RESPONDING): NextStep.GIVE_UP,
}

# Refusals that pass within a second, so that another round over the candidates may succeed.
# A full service is not asked again: more rounds would add load when there is most of it.
TRANSIENT_REFUSALS = frozenset({RefusalCode.NOT_OWNER, RefusalCode.STARTING})


def stage_of(finished: Completion) -> Stage:
    """Return how far the attempt that ended with `finished` got."""
    if finished.started:
        return Stage.RESPONDING
    if finished.refusal is not None and finished.refusal.run_state is RunState.NOT_RUN:
        return Stage.NOT_SENT
    return Stage.MAYBE_SENT


def next_step(work: WorkKind, finished: Completion) -> NextStep:
    """Return what to do after the failed attempt `finished` at work of kind `work`."""
    return STEP_BY_STAGE[work, stage_of(finished)]


def should_start_round(codes: set[RefusalCode], rounds_made: int) -> bool:
    """Return whether to try all candidates again after a round that ended with `codes`."""
    return rounds_made < MAX_ROUNDS and bool(codes & TRANSIENT_REFUSALS)
