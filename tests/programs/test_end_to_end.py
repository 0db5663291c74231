"""End-to-end tests through real processes: caller, entry, owner, target and back."""

import asyncio
import json

import uuid_utils

from tests.standins.caller import Caller, wait_ready
from tests.standins.fleet import SAMPLE_CONFIG, Fleet, run_program

ZONES = {"entry-1": "walvis-a", "entry-2": "swakop-a"}


async def check_path() -> None:
    async with Fleet() as fleet:
        fleet.configure(SAMPLE_CONFIG)
        fleet.add_engine("forecast-0", "walvis-a")
        fleet.add_engine("forecast-1", "swakop-a")
        fleet.add_service("dispatch-0", "swakop-a")
        await fleet.add_hosts(ZONES)
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
        await check_streams(callers)
        await check_commits(fleet, callers)
        for case in REFUSALS:
            await check_refusal(callers[0], *case)
        for host in fleet.hosts.values():
            assert await host.entry.stop() == 0
        await check_report(fleet)
        for host in fleet.hosts.values():
            assert await host.router.stop() == 0


async def check_streams(callers: list[Caller]) -> None:
    first = await callers[0].chat("chat-1", "turn one")
    second = await callers[1].chat("chat-1", "turn two")
    assert first.is_complete_stream("turn one", 8)
    assert second.is_complete_stream("turn two", 8)
    assert first.target == second.target
    assert second.headers["X-Cache"] == "hit"
    assert len(first.chunks) > 1


async def check_commits(fleet: Fleet, callers: list[Caller]) -> None:
    key = str(uuid_utils.uuid7())
    response = await callers[0].commit(key)
    assert (response.status, fleet.commits.runs[key]) == (200, 1)
    assert (await callers[1].read()).status == 200


async def check_report(fleet: Fleet) -> None:
    """An entry pushes its last tallies at shutdown, so the report counts every request."""
    module = "almondspindle.programs.report"
    args = ["--platform", fleet.store.url, "--output", "json"]
    report = json.loads(await run_program(module, args))
    assert report["answered"] == ["entry-1", "entry-2"]
    services = report["windows"][0]["services"]
    first = {burn["objective"]: burn for burn in services["forecast-llm"]}
    assert first["first token"]["total"] == 2
    assert {burn["objective"] for burn in services["dispatch-app"]} == {
        "availability",
        "commits answered",
    }


CHAT = "/v1/chat/completions"
ORDERS = "/services/dispatch-app/orders"
VALID_CHAT = b'{"model": "forecast-llm", "messages": [{"role": "user", "content": "x"}]}'
UNKNOWN_MODEL_CHAT = VALID_CHAT.replace(b"forecast-llm", b"no-such")
UUID_V4 = "3b241101-e2bb-4255-8caf-4136c566a962"
REFUSALS = [
    ("POST", CHAT, VALID_CHAT, {"Authorization": "Bearer nobody"}, 401, "unauthenticated"),
    ("POST", CHAT, VALID_CHAT, {"Authorization": ""}, 401, "unauthenticated"),
    ("POST", CHAT, b"{", {}, 400, "malformed_request"),
    ("POST", CHAT, b'{"model": "forecast-llm"}', {}, 400, "malformed_request"),
    ("POST", CHAT, UNKNOWN_MODEL_CHAT, {}, 404, "unknown_service"),
    ("POST", CHAT, VALID_CHAT, {"X_Deadline_Ms": "soon"}, 400, "malformed_request"),
    ("POST", CHAT, b"x" * (2 * 1024 * 1024 + 1), {}, 413, "body_too_large"),
    ("POST", ORDERS, b"{}", {}, 400, "idempotency_key_missing"),
    ("POST", ORDERS, b"{}", {"Idempotency_Key": "seven"}, 400, "idempotency_key_malformed"),
    ("POST", ORDERS, b"{}", {"Idempotency_Key": UUID_V4}, 400, "idempotency_key_malformed"),
    ("GET", "/nothing", None, {}, 404, "unknown_path"),
]


async def check_refusal(caller, method, path, body, headers, status, code) -> None:
    response = await caller.send(method, path, body, **headers)
    assert (response.status, response.error["code"]) == (status, code)
    assert response.error["run_state"] == "not run"
    assert response.error["message"]


def test_requests_end_to_end():
    asyncio.run(check_path())
