"""Through real processes: a caller that goes away, a surge, and an engine that restarts."""

import asyncio
import json

from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

HOSTS = {"entry-1": "walvis-a"}
CHAT = "/v1/chat/completions"


# The limit of one target: a mean over a single target bounds nothing.
LIMITED = {
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
    """Send a chat over an own connection and return it once the first token came."""
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
        caller = await start(fleet, LIMITED, token_pause_s=0.01)
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

        await wait_until(all_cancelled, "streams of callers that went away go on")
        answers = [await caller.chat(f"c-{n}", "again") for n in range(4)]
        assert all(answer.is_complete_stream("again", 8) for answer in answers)
        assert await fleet.hosts["entry-1"].entry.stop() == 0
        assert await fleet.hosts["entry-1"].router.stop() == 0


def test_a_caller_that_goes_away_cancels_its_work_at_the_engine_and_frees_its_place():
    asyncio.run(check_cancel())


async def check_restart() -> None:
    async with Fleet() as fleet:
        caller = await start(fleet, SAMPLE_CONFIG, cold_limit=4)
        state = fleet.engines["forecast-0"].state
        assert (await caller.chat("c", "x")).status == 200
        state.restart(asyncio.get_running_loop().time())
        burst = [caller.chat(f"c-{n}", "x", tokens=50) for n in range(30)]
        answers = await asyncio.gather(*burst)
        assert {answer.status for answer in answers} <= {200, 429, 503}
        assert sum(answer.status == 200 for answer in answers) >= 4
        assert all(a.error["run_state"] == "not run" for a in answers if a.status != 200)
        assert state.cold_overloads == 0


def test_an_engine_that_restarts_unannounced_is_not_overloaded():
    asyncio.run(check_restart())


async def check_deadline() -> None:
    async with Fleet() as fleet:
        caller = await start(fleet, LIMITED)
        faults = fleet.engines["forecast-0"].state.faults
        faults.stall_after_tokens = 0
        late = [caller.chat(f"c-{n}", "x", X_Deadline_Ms="300") for n in range(4)]
        answers = await asyncio.gather(*late)
        assert {(a.status, a.error["code"]) for a in answers} == {(504, "deadline_exceeded")}
        assert {a.error["run_state"] for a in answers} == {"outcome unknown"}
        faults.stall_after_tokens = None
        again = await asyncio.gather(*(caller.chat(f"c-{n}", "x") for n in range(4)))
        assert all(answer.is_complete_stream("x", 8) for answer in again)


def test_a_deadline_ends_the_work_at_the_owner_and_frees_its_place():
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
            answers = [await caller.chat(f"c-{n}", "x") for n in range(12)]
            return {a.target for a in answers if a.status == 200} == set(fleet.engines)

        await wait_until(all_engines_serve, "a target was not handed over")


def test_new_owners_get_their_targets_handed_over_by_the_previous_ones():
    asyncio.run(check_handover())
