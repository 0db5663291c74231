"""What an entry does after an attempt at a request has failed."""

from enum import StrEnum

from almondspindle.core.calls import Finished, WorkKind
from almondspindle.core.outcomes import RunState


class NextStep(StrEnum):
    """What follows a failed attempt."""

    NEXT_CANDIDATE = "next candidate"
    GIVE_UP = "give up"


class Stage(StrEnum):
    """How far a failed attempt got."""

    NOT_SENT = "not sent"
    MAYBE_SENT = "maybe sent"
    ANSWERING = "answering"


STEPS: dict[tuple[WorkKind, Stage], NextStep] = {
    (WorkKind.CHAT, Stage.NOT_SENT): NextStep.NEXT_CANDIDATE,
    (WorkKind.CHAT, Stage.MAYBE_SENT): NextStep.NEXT_CANDIDATE,
    (WorkKind.CHAT, Stage.ANSWERING): NextStep.GIVE_UP,
    (WorkKind.READ, Stage.NOT_SENT): NextStep.NEXT_CANDIDATE,
    (WorkKind.READ, Stage.MAYBE_SENT): NextStep.NEXT_CANDIDATE,
    (WorkKind.READ, Stage.ANSWERING): NextStep.GIVE_UP,
    (WorkKind.COMMIT, Stage.NOT_SENT): NextStep.NEXT_CANDIDATE,
    (WorkKind.COMMIT, Stage.MAYBE_SENT): NextStep.GIVE_UP,
    (WorkKind.COMMIT, Stage.ANSWERING): NextStep.GIVE_UP,
}


def stage_of(finished: Finished) -> Stage:
    """Return how far the attempt that ended with `finished` got."""
    if finished.started:
        return Stage.ANSWERING
    if finished.refusal is not None and finished.refusal.run_state is RunState.NOT_RUN:
        return Stage.NOT_SENT
    return Stage.MAYBE_SENT


def next_step(work: WorkKind, finished: Finished) -> NextStep:
    """Return what to do after the failed attempt `finished` at work of kind `work`."""
    return STEPS[work, stage_of(finished)]
