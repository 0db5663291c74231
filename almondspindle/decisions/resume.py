"""Whether and when an entry resumes an interrupted stream.

The engine keeps a stream for some seconds after its connection broke. A resume goes to the same
target, through the host that owns it at that time. It requests the events after the last one that
the caller has received and never runs the work a second time.
"""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import RefusalCode
from almondspindle.decisions.jitter import doubled

BASE_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class ResumeStep(StrEnum):
    """What to do with an interrupted stream."""

    RESUME = "resume"
    GIVE_UP = "give up"


# Failures on the path to the target, and refusals that end once another host owns the target. On
# all other codes the entry gives up.
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
    """How much of its stream the caller has received.

    `last_event` is the number of the last event that the caller received. It is None before the
    first event and for engines that do not number their events. `broken_at` is when the stream
    stopped making progress, and `failed_resumes` counts the resumes since then.
    """

    work: WorkKind | None
    last_event: int | None
    broken_at: float
    failed_resumes: int = 0


def next_resume(
    progress: StreamProgress, finished: Completion, now: float, window_s: float, deadline_at: float
) -> ResumeStep:
    """Return what to do after the attempt `finished`. Times are in seconds.

    `window_s` is how long after `broken_at` the stream may be resumed.
    """
    if progress.work is not WorkKind.CHAT or progress.last_event is None:
        return ResumeStep.GIVE_UP
    if now >= min(progress.broken_at + window_s, deadline_at):
        return ResumeStep.GIVE_UP
    if finished.refusal is None:
        return ResumeStep.GIVE_UP
    return STEP_BY_CODE.get(finished.refusal.code, ResumeStep.GIVE_UP)


def resume_delay_s(progress: StreamProgress, random_fraction: float) -> float:
    """Return the delay before the next resume, in seconds. `random_fraction` is from 0 to 1.

    The first delay is short, because a single broken connection is the most likely cause. Later
    ones back off with full jitter, because a dead host breaks many streams at once.
    """
    return doubled(BASE_DELAY_S, progress.failed_resumes, MAX_DELAY_S) * random_fraction
