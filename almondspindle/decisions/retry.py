"""What an entry does after an attempt at a request has failed."""

from enum import StrEnum

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import RefusalCode, RunState

MAX_ROUNDS = 4  # passes over the candidates, including the first one
ROUND_BASE_S = 0.05
ROUND_CAP_S = 0.5
RETRY_BASE_S = 0.02
RETRY_CAP_S = 0.25
FULL_RETRY_AFTER_S = 1.0
MAX_TARGETS_LOST = 2  # under one request: it may be what they fail of


class NextStep(StrEnum):
    """What to do after a failed attempt."""

    REDIRECT = "redirect"  # use the next candidate at once, outside the budget
    RETRY = "retry"  # use the next candidate after a delay, if the budget allows it
    GIVE_UP = "give up"


class Stage(StrEnum):
    """How far a failed attempt got."""

    NOT_SENT = "not sent"
    MAYBE_SENT = "maybe sent"
    RESPONDING = "answering"


# Redirects do not use the budget. No target ran the request in the attempt before a redirect, so it
# added no work there, and the number of candidates limits the redirects. If they used the budget,
# then requests would fail when an availability zone is lost and the budgets are exhausted.
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

# Refusals that end within a second, so that another round over the candidates may succeed. FULL is
# not included: more rounds would add load to a service that is already overloaded.
TRANSIENT_REFUSALS = frozenset({RefusalCode.NOT_OWNER, RefusalCode.STARTING})


def stage_of(finished: Completion) -> Stage:
    """Return how far the attempt with the result `finished` got."""
    if finished.started:
        return Stage.RESPONDING
    if finished.refusal is not None and finished.refusal.run_state is RunState.NOT_RUN:
        return Stage.NOT_SENT
    return Stage.MAYBE_SENT


def next_step(work: WorkKind, finished: Completion) -> NextStep:
    """Return what to do after the failed attempt `finished` for work of kind `work`."""
    return STEP_BY_STAGE[work, stage_of(finished)]


def is_target_lost(finished: Completion) -> bool:
    """Return whether the target closed its connection without a response to the request."""
    refusal = finished.refusal
    is_unreachable = refusal is not None and refusal.code is RefusalCode.TARGET_UNREACHABLE
    return is_unreachable and stage_of(finished) is Stage.MAYBE_SENT


def should_start_round(codes: set[RefusalCode], rounds_made: int) -> bool:
    """Return whether to try all candidates again after a round that failed with `codes`."""
    return rounds_made < MAX_ROUNDS and bool(codes & TRANSIENT_REFUSALS)
