"""What callers are told of commits: replays, refusals and what they say of the run."""

import asyncio
from dataclasses import replace
from time import time

import pytest
import uuid_utils

from almondspindle.chain.base import Chain
from almondspindle.core.calls import Call, WorkKind
from almondspindle.core.clock import SystemClock
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState, refused
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, MAX_SKEW_S
from almondspindle.decisions.idempotency_keys import qualify_run_state
from tests.decisions.test_claims import uuid7
from tests.standins.claims_cluster import CANDIDATES, Cluster

KEY = "01912d68-783e-7a03-8467-5661c1243ad4"
DAY_S = 86_400.0


async def twice(first: dict, second: dict, key: str) -> tuple[Cluster, list]:
    """Send a commit through one entry and then through the other."""
    async with Cluster() as world:
        answers = [await world.entries[0].send(key, **first)]
        await world.entries[0].wait_settled()
        answers.append(await world.entries[1].send(key, **second))
    return world, answers


SECOND_REQUESTS = [
    ({}, None, "replayed", 1),
    ({"body": b"other"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"target_path": "/other"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"method": "PUT"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"team": "rival"}, None, "ok", 2),
]


@pytest.mark.parametrize(("second", "code", "verdict", "runs"), SECOND_REQUESTS)
def test_a_second_request_with_the_same_key(second, code, verdict, runs):
    key = str(uuid_utils.uuid7())
    world, answers = asyncio.run(twice({}, second, key))
    refusal = answers[1].completion.refusal
    assert (refusal and refusal.code, answers[1].outcome) == (code, verdict)
    assert world.runs[key] == runs


def test_a_replay_is_the_answer_as_it_was():
    _, (first, again) = asyncio.run(twice({}, {}, str(uuid_utils.uuid7())))
    head = again.parts[0]
    assert replace(head, headers=head.headers[:-1]) == first.parts[0]
    assert again.parts[1:] == first.parts[1:]


def test_an_answer_too_large_to_keep_is_told_as_run():
    async def check() -> None:
        async with Cluster() as world:
            world.entries[0].owner.body = b"x" * 5000
            key = str(uuid_utils.uuid7())
            assert (await world.entries[0].send(key)).outcome == "ok"
            await world.entries[0].wait_settled()
            again = await world.entries[1].send(key)
            assert again.completion.refusal.code is RefusalCode.RESPONSE_NOT_STORED
            assert (again.outcome, world.runs[key]) == (RunState.RUN.value, 1)

    asyncio.run(check())


AGES = [
    (DAY_S + 1.0, RefusalCode.KEY_EXPIRED),
    (MAX_RETENTION_S + 100.0, RefusalCode.KEY_EXPIRED),
    (-MAX_SKEW_S - 10.0, RefusalCode.KEY_MALFORMED),
]


@pytest.mark.parametrize(("age_s", "code"), AGES)
def test_a_key_outside_its_window_is_refused_and_not_as_not_run(age_s, code):
    async def check() -> None:
        async with Cluster() as world:
            answer = await world.entries[0].send(uuid7(at=time() - age_s))
            assert answer.completion.refusal.code is code
            assert answer.outcome == RunState.ATTEMPT_NOT_RUN.value
            assert not world.runs

    asyncio.run(check())


def test_not_run_is_said_when_the_record_shows_it_and_the_key_may_run_later():
    async def check() -> None:
        async with Cluster() as world:
            key = str(uuid_utils.uuid7())
            world.entries[0].owner.refuse = 2 * len(CANDIDATES)
            for _ in range(2):
                answer = await world.entries[0].send(key)
                assert (answer.outcome, answer.runs) == (RunState.NOT_RUN.value, 0)
                await world.entries[0].wait_settled()
            assert (await world.entries[1].send(key)).outcome == "ok"

    asyncio.run(check())


KEYED = (("idempotency-key", KEY),)
TRUTHS = [
    (KEYED, None, None, RunState.ATTEMPT_NOT_RUN),
    (KEYED, WorkKind.COMMIT, None, RunState.ATTEMPT_NOT_RUN),
    (KEYED, WorkKind.COMMIT, "nonce", RunState.NOT_RUN),
    (KEYED, WorkKind.CHAT, None, RunState.NOT_RUN),
    ((), WorkKind.COMMIT, None, RunState.NOT_RUN),
    ((("Idempotency-Key", "seven"),), WorkKind.COMMIT, None, RunState.NOT_RUN),
]


@pytest.mark.parametrize(("headers", "work", "nonce", "expected"), TRUTHS)
def test_a_refusal_without_a_look_at_the_claim_says_no_more_than_is_known(
    headers, work, nonce, expected
):
    call = Call("r", 0.0, "POST", "/x", headers, work=work, claim_nonce=nonce)
    refusal = Refusal(RefusalCode.DEADLINE_EXCEEDED, "late")
    assert qualify_run_state(call, refusal).run_state is expected
    unknown = replace(refusal, run_state=RunState.UNKNOWN)
    assert qualify_run_state(call, unknown) == unknown


class RefuseAll:
    """A filter that refuses every call as not run."""

    async def apply(self, call: Call, now: float):
        """Return a refusal."""
        return refused(RefusalCode.NOT_READY, "no configuration has been read yet")


def test_a_refusal_before_the_claim_does_not_deny_an_earlier_run():
    async def check() -> None:
        async with Cluster() as world:
            key = str(uuid_utils.uuid7())
            first, second = world.entries
            await first.send(key)
            second.chain = Chain((RefuseAll(),), second.settle, SystemClock())
            answer = await second.send(key)
            assert (answer.outcome, answer.runs) == (RunState.ATTEMPT_NOT_RUN.value, 1)
            assert world.false_not_run_count == 0

    asyncio.run(check())
