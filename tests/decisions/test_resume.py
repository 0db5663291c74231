"""When and after which delay a stream is resumed."""

import pytest

from almondspindle.core.calls import Completion, WorkKind
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.decisions.resume import (
    BASE_DELAY_S,
    MAX_DELAY_S,
    STEP_BY_CODE,
    ResumeStep,
    StreamProgress,
    next_resume,
    resume_delay_s,
)

WINDOW_S = 10.0
DEADLINE_AT = 500.0


def step(code: RefusalCode, now: float = 101.0, work=WorkKind.CHAT, last=3) -> ResumeStep:
    finished = Completion(True, Refusal(code, "x", RunState.UNKNOWN))
    return next_resume(StreamProgress(work, last, 100.0), finished, now, WINDOW_S, DEADLINE_AT)


@pytest.mark.parametrize("code", list(RefusalCode))
def test_only_codes_in_the_table_are_resumed(code):
    assert step(code) is STEP_BY_CODE.get(code, ResumeStep.GIVE_UP)


NOT_RESUMABLE = [
    {"work": WorkKind.COMMIT},
    {"work": WorkKind.READ},
    {"last": None},
    {"now": 100.0 + WINDOW_S},
    {"now": DEADLINE_AT},
]


@pytest.mark.parametrize("case", NOT_RESUMABLE, ids=str)
def test_a_stream_that_cannot_be_resumed_is_given_up(case):
    assert step(RefusalCode.PEER_UNREACHABLE, **case) is ResumeStep.GIVE_UP


def test_delays_grow_to_a_limit_and_scale_with_the_jitter():
    delays = [resume_delay_s(StreamProgress(WorkKind.CHAT, 1, 0.0, n), 1.0) for n in range(12)]
    assert delays[0] == BASE_DELAY_S
    assert delays == sorted(delays)
    assert delays[-1] == MAX_DELAY_S
    assert resume_delay_s(StreamProgress(WorkKind.CHAT, 1, 0.0, 0), 0.0) == 0.0
