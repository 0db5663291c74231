"""The entry's attempts over the candidates, and the owner's ticket if the caller disconnects."""

import asyncio

import pytest

from almondspindle.chain.admit import AdmitToTarget
from almondspindle.chain.limit import LimitTeam
from almondspindle.chain.relay import RelayToOwner
from almondspindle.controllers.admission.messages import GetDigests, OwnedTargetsChanged
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.controllers.limits.messages import HostCountChanged
from almondspindle.controllers.limits.task import LimitsController
from almondspindle.controllers.retries.task import RetriesController
from almondspindle.controllers.targets.messages import ConfigChanged
from almondspindle.core.calls import Call, Candidate, Completion, WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Team
from almondspindle.core.load import OwnedTarget
from almondspindle.core.metrics import NullMetrics
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.core.roster import Target
from almondspindle.decisions.retry import MAX_ROUNDS

COMPLETE = Completion(started=True)


def refusal(code: str, state: RunState = RunState.NOT_RUN, started: bool = False) -> Completion:
    return Completion(started, Refusal(RefusalCode(code), code, state))


FULL, STARTING = refusal("full"), refusal("starting")
LOST = refusal("peer_unreachable", RunState.UNKNOWN)
DOWN = refusal("target_unreachable", RunState.UNKNOWN)
BROKEN = refusal("answer_broken", RunState.UNKNOWN, started=True)
CHAT, READ, COMMIT = WorkKind.CHAT, WorkKind.READ, WorkKind.COMMIT

# kind of work, results of the attempts in order (the last one repeats), attempts, code, run state
CASES = [
    (CHAT, [COMPLETE], 1, None, None),
    (CHAT, [FULL, STARTING, COMPLETE], 3, None, None),
    (CHAT, [FULL], 3, "full", RunState.NOT_RUN),
    (CHAT, [STARTING], 3 * MAX_ROUNDS, "starting", RunState.NOT_RUN),
    (CHAT, [STARTING, FULL, FULL, COMPLETE], 4, None, None),
    (CHAT, [LOST, COMPLETE], 2, None, None),
    (READ, [LOST, FULL], 3, "full", RunState.UNKNOWN),
    (COMMIT, [FULL, COMPLETE], 2, None, None),
    (COMMIT, [LOST], 1, "peer_unreachable", RunState.UNKNOWN),
    (CHAT, [BROKEN], 1, "answer_broken", RunState.UNKNOWN),
    (READ, [LOST], 3, "peer_unreachable", RunState.UNKNOWN),
    (CHAT, [DOWN, COMPLETE], 2, None, None),
    (CHAT, [DOWN, DOWN, COMPLETE], 2, "target_unreachable", RunState.UNKNOWN),
    (READ, [DOWN, FULL, DOWN, COMPLETE], 3, "target_unreachable", RunState.UNKNOWN),
]


class Owners:
    """Return the results of the attempts in order. The last one repeats."""

    def __init__(self, results):
        self.results = results
        self.attempted: list[str] = []
        self.others_declined: list[bool] = []

    async def relay(self, call, candidate, sink):
        self.attempted.append(candidate.target)
        self.others_declined.append(call.others_declined)
        return self.results[min(len(self.attempted), len(self.results)) - 1]


def make_call(work: WorkKind, deadline_at: float = 2000.0) -> Call:
    names = ("t0", "t1", "t2")
    candidates = tuple(Candidate(name, "h", "127.0.0.1:1") for name in names)
    return Call(
        "r", deadline_at, "POST", "/", service="s", work=work, candidates=candidates, team="a"
    )


async def relay(results, *calls: Call) -> tuple[Owners, list[Completion]]:
    clock = ManualClock()
    retries = RetriesController(clock)
    running = asyncio.ensure_future(retries.run())
    owners = Owners(results)
    terminal = RelayToOwner(owners, retries, clock, NullMetrics(), random_fraction=lambda: 0.0)
    completions = [await terminal.finish(call, None, clock.now) for call in calls]
    running.cancel()
    return owners, completions


@pytest.mark.parametrize("second", [STARTING, FULL])
def test_owners_learn_in_the_next_round_that_all_others_declined_the_chat(second):
    owners, _ = asyncio.run(relay([STARTING, second, STARTING, COMPLETE], make_call(CHAT)))
    assert owners.others_declined == [False, False, False, True]


@pytest.mark.parametrize("case", CASES, ids=str)
def test_attempts(case):
    work, results, attempts, code, state = case
    owners, [completion] = asyncio.run(relay(results, make_call(work)))
    assert len(owners.attempted) == attempts
    assert owners.attempted[:3] == ["t0", "t1", "t2"][:attempts]
    actual = completion.refusal
    assert (actual and actual.code, actual and actual.run_state) == (code, state)
    if code == "full":
        assert actual.retry_after_s


def test_an_exhausted_budget_ends_retries_but_not_redirects():
    owners, completions = asyncio.run(relay([LOST], *[make_call(CHAT)] * 21))
    assert all(completion.refusal is not None for completion in completions)
    assert len(owners.attempted) == 21 + 5  # 3 initially, and 0.1 for each request
    owners, _ = asyncio.run(relay([FULL], *[make_call(CHAT)] * 20))
    assert len(owners.attempted) == 60


def test_no_attempt_begins_after_the_deadline():
    owners, [completion] = asyncio.run(relay([COMPLETE], make_call(CHAT, deadline_at=999.0)))
    assert owners.attempted == []
    assert completion.refusal.code is RefusalCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize("handled_first", [False, True])
def test_the_ticket_of_a_disconnected_caller_is_released(handled_first):
    async def check() -> None:
        admission = AdmissionController(ManualClock(), 5.0)
        admission.send(OwnedTargetsChanged((OwnedTarget(Target("t0", "s", "z", "ip:1")),)))
        call = make_call(CHAT).copy_with(target="t0")
        running = asyncio.ensure_future(admission.run()) if handled_first else None
        admitting = asyncio.ensure_future(AdmitToTarget(admission).apply(call, 0.0))
        for _ in range(3 if handled_first else 2):
            await asyncio.sleep(0)
        assert len(admission._tickets) == handled_first
        admitting.cancel()
        running = running or asyncio.ensure_future(admission.run())
        await asyncio.gather(admitting, return_exceptions=True)
        for _ in range(10):
            await asyncio.sleep(0)
        [digest] = await admission.request(GetDigests())
        assert digest.in_flight == 0
        running.cancel()

    asyncio.run(check())


def test_an_entry_accepts_its_share_of_a_teams_rate():
    async def check() -> None:
        clock = ManualClock()
        limits = LimitsController(clock)
        running = asyncio.ensure_future(limits.run())
        limits.send(ConfigChanged(ConfigSet(1, {"a": Team("a", "0" * 64, requests_per_s=100.0)})))
        limits.send(HostCountChanged(10))
        limit = LimitTeam(limits)
        outcomes = [await limit.apply(make_call(CHAT), 0.0) for _ in range(30)]
        assert sum(outcome.is_ok() for outcome in outcomes) == 20
        assert outcomes[-1].error.code is RefusalCode.RATE_LIMITED
        assert 0 < outcomes[-1].error.retry_after_s <= 0.1
        clock.advance(1.0)
        outcomes = [await limit.apply(make_call(CHAT), 0.0) for _ in range(30)]
        assert sum(outcome.is_ok() for outcome in outcomes) == 10
        running.cancel()

    asyncio.run(check())
