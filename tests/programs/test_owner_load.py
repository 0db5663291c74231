"""Tests for the load that an owner lets through to an engine, with real processes.

Callers disconnect, an engine restarts, deadlines pass, and targets get new owners.
"""

import asyncio
import json

from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

HOSTS = {"entry-1": "walvis-a"}
CHAT = "/v1/chat/completions"


# With a single target, the bound by the mean load has no effect, so the target has its own limit.
TARGET_LIMIT_CONFIG = {
    **SAMPLE_CONFIG,
    "services": [
        {"name": "forecast-llm", "kind": "chat", "policy": {"cold_limit": 4, "target_limit": 4}}
    ],
}


async def start(fleet: Fleet, config: dict, **engine_args: float) -> Caller:
    fleet.configure(config)
    fleet.add_engine("forecast-0", "walvis-a", **engine_args)
    await fleet.add_hosts(HOSTS)
    caller = Caller(fleet.hosts["entry-1"].entry.address)
    await wait_ready(caller)
    return caller


async def open_chat(caller: Caller, chat_id: str, tokens: int) -> asyncio.StreamWriter:
    """Send a chat on a new connection; return its writer once the first token was received."""
    host, _, port = caller.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    messages = [{"role": "user", "content": "x"}]
    doc = {"model": "forecast-llm", "messages": messages, "stream": True, "max_tokens": tokens}
    body = json.dumps(doc).encode()
    lines = [f"POST {CHAT} HTTP/1.1", "Host: x", f"Authorization: Bearer {caller.token}"]
    lines += [f"X-Chat-Id: {chat_id}", f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await reader.readuntil(b"data: ")
    return writer


async def check_cancel() -> None:
    async with Fleet() as fleet:
        caller = await start(fleet, TARGET_LIMIT_CONFIG, token_pause_s=0.01)
        state = fleet.engines["forecast-0"].state
        writers = [await open_chat(caller, f"c-{n}", tokens=100_000) for n in range(4)]
        assert state.in_flight == 4
        refused = await caller.chat("c-5", "x")
        assert (refused.status, refused.error["run_state"]) == (503, "not run")
        assert int(refused.headers["Retry-After"]) >= 1
        for writer in writers:
            writer.close()

        async def all_cancelled() -> bool:
            return (state.cancelled, state.in_flight) == (4, 0)

        await wait_until(all_cancelled, "streams of callers that disconnected were not cancelled")
        responses = [await caller.chat(f"c-{n}", "again") for n in range(4)]
        assert all(response.is_complete_stream("again", 8) for response in responses)
        assert await fleet.hosts["entry-1"].entry.stop() == 0
        assert await fleet.hosts["entry-1"].router.stop() == 0


def test_a_request_is_cancelled_and_its_slot_freed_when_its_caller_disconnects():
    asyncio.run(check_cancel())


async def check_restart() -> None:
    async with Fleet() as fleet:
        caller = await start(fleet, SAMPLE_CONFIG, cold_limit=4)
        state = fleet.engines["forecast-0"].state
        assert (await caller.chat("c", "x")).status == 200
        state.restart(asyncio.get_running_loop().time())
        burst = [caller.chat(f"c-{n}", "x", tokens=50) for n in range(30)]
        responses = await asyncio.gather(*burst)
        assert {response.status for response in responses} <= {200, 429, 503}
        assert sum(response.status == 200 for response in responses) >= 4
        assert all(
            response.error["run_state"] == "not run"
            for response in responses
            if response.status != 200
        )
        assert state.cold_overloads == 0


def test_an_engine_that_restarts_without_notice_is_not_overloaded():
    asyncio.run(check_restart())


async def check_deadline() -> None:
    async with Fleet() as fleet:
        caller = await start(fleet, TARGET_LIMIT_CONFIG)
        faults = fleet.engines["forecast-0"].state.faults
        faults.stall_after_tokens = 0
        late = [caller.chat(f"c-{n}", "x", X_Deadline_Ms="300") for n in range(4)]
        responses = await asyncio.gather(*late)
        assert {(response.status, response.error["code"]) for response in responses} == {
            (504, "deadline_exceeded")
        }
        assert {response.error["run_state"] for response in responses} == {"outcome unknown"}
        faults.stall_after_tokens = None
        again = await asyncio.gather(*(caller.chat(f"c-{n}", "x") for n in range(4)))
        assert all(response.is_complete_stream("x", 8) for response in again)


def test_a_request_past_its_deadline_is_cancelled_and_its_slot_freed():
    asyncio.run(check_deadline())


async def check_handover() -> None:
    async with Fleet(router_args=("--takeover-s", "3600")) as fleet:
        fleet.configure(SAMPLE_CONFIG)
        for zone in ("walvis-a", "swakop-a"):
            fleet.add_engine(f"forecast-{zone}", zone)
        await fleet.add_hosts({"entry-1": "walvis-a", "entry-2": "swakop-a"})
        caller = Caller(fleet.hosts["entry-1"].entry.address)
        await wait_ready(caller)

        async def all_engines_serve() -> bool:
            responses = [await caller.chat(f"c-{n}", "x") for n in range(12)]
            return {response.target for response in responses if response.status == 200} == set(
                fleet.engines
            )

        await wait_until(all_engines_serve, "a target was not released to its new owner")


def test_previous_owners_release_targets_to_new_owners():
    asyncio.run(check_handover())
