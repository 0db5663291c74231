"""Responses to commits: replays, refusals, and the run state that a refusal reports."""

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


async def send_twice(first: dict, second: dict, key: str) -> tuple[Cluster, list]:
    """Send a commit through one entry, and then through the other."""
    async with Cluster() as cluster:
        responses = [await cluster.entries[0].send(key, **first)]
        await cluster.entries[0].wait_settled()
        responses.append(await cluster.entries[1].send(key, **second))
    return cluster, responses


SECOND_REQUESTS = [
    ({}, None, "replayed", 1),
    ({"body": b"other"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"target_path": "/other"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"method": "PUT"}, RefusalCode.KEY_REUSED, RunState.ATTEMPT_NOT_RUN, 1),
    ({"team": "rival"}, None, "ok", 2),
]


@pytest.mark.parametrize(("second", "code", "outcome", "runs"), SECOND_REQUESTS)
def test_a_second_request_with_the_same_key(second, code, outcome, runs):
    key = str(uuid_utils.uuid7())
    cluster, responses = asyncio.run(send_twice({}, second, key))
    refusal = responses[1].completion.refusal
    assert (refusal and refusal.code, responses[1].outcome) == (code, outcome)
    assert cluster.runs[key] == runs


def test_a_replay_equals_the_recorded_response():
    _, (first, replay) = asyncio.run(send_twice({}, {}, str(uuid_utils.uuid7())))
    head = replay.parts[0]
    assert replace(head, headers=head.headers[:-1]) == first.parts[0]
    assert replay.parts[1:] == first.parts[1:]


def test_a_response_too_large_to_store_is_reported_as_run():
    async def check() -> None:
        async with Cluster() as cluster:
            cluster.entries[0].owner.body = b"x" * 5000
            key = str(uuid_utils.uuid7())
            assert (await cluster.entries[0].send(key)).outcome == "ok"
            await cluster.entries[0].wait_settled()
            second = await cluster.entries[1].send(key)
            assert second.completion.refusal.code is RefusalCode.RESPONSE_NOT_STORED
            assert (second.outcome, cluster.runs[key]) == (RunState.RUN.value, 1)

    asyncio.run(check())


AGES = [
    (DAY_S + 1.0, RefusalCode.KEY_EXPIRED),
    (MAX_RETENTION_S + 100.0, RefusalCode.KEY_EXPIRED),
    (-MAX_SKEW_S - 10.0, RefusalCode.KEY_MALFORMED),
]


@pytest.mark.parametrize(("age_s", "code"), AGES)
def test_a_refusal_of_a_key_outside_its_window_does_not_deny_earlier_runs(age_s, code):
    async def check() -> None:
        async with Cluster() as cluster:
            response = await cluster.entries[0].send(uuid7(at=time() - age_s))
            assert response.completion.refusal.code is code
            assert response.outcome == RunState.ATTEMPT_NOT_RUN.value
            assert not cluster.runs

    asyncio.run(check())


def test_a_key_recorded_as_not_run_is_reported_as_such_and_may_run_later():
    async def check() -> None:
        async with Cluster() as cluster:
            key = str(uuid_utils.uuid7())
            cluster.entries[0].owner.refuse = 2 * len(CANDIDATES)
            for _ in range(2):
                response = await cluster.entries[0].send(key)
                assert (response.outcome, response.runs) == (RunState.NOT_RUN.value, 0)
                await cluster.entries[0].wait_settled()
            assert (await cluster.entries[1].send(key)).outcome == "ok"

    asyncio.run(check())


WITH_KEY = (("idempotency-key", KEY),)
RUN_STATES = [
    (WITH_KEY, None, None, RunState.ATTEMPT_NOT_RUN),
    (WITH_KEY, WorkKind.COMMIT, None, RunState.ATTEMPT_NOT_RUN),
    (WITH_KEY, WorkKind.COMMIT, "nonce", RunState.NOT_RUN),
    (WITH_KEY, WorkKind.CHAT, None, RunState.NOT_RUN),
    ((), WorkKind.COMMIT, None, RunState.NOT_RUN),
    ((("Idempotency-Key", "seven"),), WorkKind.COMMIT, None, RunState.NOT_RUN),
]


@pytest.mark.parametrize(("headers", "work", "nonce", "expected"), RUN_STATES)
def test_a_refusal_without_a_claim_lookup_reports_only_what_is_known(
    headers, work, nonce, expected
):
    call = Call("r", 0.0, "POST", "/x", headers, work=work, claim_nonce=nonce)
    refusal = Refusal(RefusalCode.DEADLINE_EXCEEDED, "late")
    assert qualify_run_state(call, refusal).run_state is expected
    with_unknown_outcome = replace(refusal, run_state=RunState.UNKNOWN)
    assert qualify_run_state(call, with_unknown_outcome) == with_unknown_outcome


class RefuseAll:
    """A filter that refuses every call as not run."""

    async def apply(self, call: Call, now: float):
        """Return a refusal."""
        return refused(RefusalCode.NOT_READY, "no configuration has been read yet")


def test_a_refusal_before_the_claim_does_not_deny_an_earlier_run():
    async def check() -> None:
        async with Cluster() as cluster:
            key = str(uuid_utils.uuid7())
            first, second = cluster.entries
            await first.send(key)
            second.chain = Chain((RefuseAll(),), second.settle, SystemClock())
            response = await second.send(key)
            assert (response.outcome, response.runs) == (RunState.ATTEMPT_NOT_RUN.value, 1)
            assert cluster.false_not_run_count == 0

    asyncio.run(check())
