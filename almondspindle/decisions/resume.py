"""Whether and when an entry resumes a stream that broke off.

The engine keeps a stream for some seconds after its connection broke. A resume goes to the same
target, through the host that owns it by then, and asks for what follows the last event that the
caller has. It is never a second run of the work.
"""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import RefusalCode

BASE_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class ResumeStep(StrEnum):
    """What follows a stream that broke off."""

    RESUME = "resume"
    GIVE_UP = "give up"


# Breaks of the path, and refusals that pass once another host owns the target. Every other code
# gives up.
STEP_BY_CODE: dict[RefusalCode, ResumeStep] = {
    RefusalCode.PEER_UNREACHABLE: ResumeStep.RESUME,
    RefusalCode.TARGET_UNREACHABLE: ResumeStep.RESUME,
    RefusalCode.RESPONSE_BROKEN: ResumeStep.RESUME,
    RefusalCode.NOT_OWNER: ResumeStep.RESUME,
    RefusalCode.NOT_READY: ResumeStep.RESUME,
    RefusalCode.STOPPING: ResumeStep.RESUME,
    RefusalCode.FULL: ResumeStep.RESUME,
    RefusalCode.STARTING: ResumeStep.RESUME,
}


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """How far the caller's stream got.

    `last_event` is the number of the last event that the caller has, None before the first one
    and for engines that do not number their events. `broken_at` is when the stream stopped to
    advance, and `tries` counts the resumes since then.
    """

    work: WorkKind | None
    last_event: int | None
    broken_at: float
    failed_resumes: int = 0


def next_resume(
    progress: StreamProgress, finished: Completion, now: float, window_s: float, deadline_at: float
) -> ResumeStep:
    """Return what to do after the attempt `finished`. Times are in seconds."""
    if progress.work is not WorkKind.CHAT or progress.last_event is None:
        return ResumeStep.GIVE_UP
    if now >= min(progress.broken_at + window_s, deadline_at):
        return ResumeStep.GIVE_UP
    if finished.refusal is None:
        return ResumeStep.GIVE_UP
    return STEP_BY_CODE.get(finished.refusal.code, ResumeStep.GIVE_UP)


def resume_delay_s(progress: StreamProgress, random_fraction: float) -> float:
    """Return the pause before the next resume, in seconds; `jitter` lies between 0 and 1.

    The first resume waits little, since a single broken connection is the likely cause. Later
    ones back off with full jitter, since a dead host breaks many streams at once.
    """
    return min(MAX_DELAY_S, BASE_DELAY_S * 2**progress.failed_resumes) * random_fraction
