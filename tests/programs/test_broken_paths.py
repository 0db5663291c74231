"""Broken and silent paths between real processes: a whole answer or a clear error."""

import asyncio

import pytest

from tests.programs.common import (
    TOKENS,
    all_whole,
    small_fleet,
    start_chats,
    wait_idle,
    wait_streaming,
)
from tests.standins.black_hole import BlackHole
from tests.standins.caller import wait_until
from tests.standins.raw_caller import LAST_CHUNK, RawCaller, chat_request

ONE = {"entry-1": "walvis-a"}
SAME_ZONE = {"entry-1": "walvis-a", "entry-2": "walvis-a"}
STREAMS = 3
SILENCE = ("--between-bytes-bound-s", "1")
QUICK = {
    "entry_args": ("--balancer-lag-s", "0", "--peer-silence-bound-s", "1"),
    "router_args": ("--heartbeat-interval-s", "0.2", "--roster-interval-s", "0.2", *SILENCE),
}


def test_streams_go_on_when_their_owner_dies(tmp_path):
    async def check() -> None:
        async with small_fleet(tmp_path, SAME_ZONE, **QUICK) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            first = await callers[0].chat("c", "x")
            assert first.status == 200
            tasks = start_chats(callers[0], STREAMS)
            await wait_streaming([engine], STREAMS)
            await fleet.hosts[owner_of_engine(tmp_path)].router.kill()
            fleet.remove_from_list(owner_of_engine(tmp_path))
            assert await all_whole(tasks)
            assert engine.state.resumed >= STREAMS

    asyncio.run(check())


def owner_of_engine(log_dir) -> str:
    """Return the host whose router passed an answer of the engine on, from its log."""
    for name in SAME_ZONE:
        if "forecast-0" in (log_dir / f"router-{name}.log").read_text():
            return name
    raise AssertionError("no router has served the engine")


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "forgotten"])
def test_a_broken_engine_connection_is_resumed_or_told(tmp_path, kept):
    async def check() -> None:
        async with small_fleet(tmp_path, ONE, **QUICK) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.faults.break_after_tokens = 5
            engine.state.faults.forget_streams = not kept
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request("text", TOKENS))
            if kept:
                _, body = await raw.read_message()
                assert body.count(b"id: ") == TOKENS
                assert engine.state.resumed == 1
                return
            rest = await raw.read_rest()
            assert b"event: error\ndata: " in rest
            assert b"resume_refused" in rest
            assert b"[DONE]" not in rest
            assert not rest.endswith(LAST_CHUNK)

    asyncio.run(check())


@pytest.mark.parametrize("place", ["router", "target"])
def test_streams_go_on_when_a_connection_goes_silent(tmp_path, place):
    async def check() -> None:
        async with small_fleet(tmp_path, ONE, **QUICK) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            entries = fleet.store.state.host_list
            name = "entry-1" if place == "router" else "forecast-0"
            found = next(entry for entry in entries if entry["name"] == name)
            async with BlackHole(found["address"]) as hole:
                found["address"] = hole.address

                async def is_used() -> bool:
                    await callers[0].chat("c", "x")
                    return hole.connections > 0

                await wait_until(is_used, "the forwarder is not in the path")
                tasks = start_chats(callers[0], STREAMS)
                await wait_streaming([engine], STREAMS)
                hole.drop_data()
                assert await all_whole(tasks)
                assert engine.state.resumed >= STREAMS

    asyncio.run(check())


def leave(raw: RawCaller) -> None:
    raw.close()


def close_half(raw: RawCaller) -> None:
    raw.writer.write_eof()


@pytest.mark.parametrize("how", [leave, close_half])
@pytest.mark.parametrize("tokens_before", [0, 5])
def test_a_caller_that_leaves_cancels_the_engine(tmp_path, tokens_before, how):
    async def check() -> None:
        async with small_fleet(tmp_path, ONE) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.faults.stall_after_tokens = tokens_before
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request("text", TOKENS))

            async def is_there() -> bool:
                return (engine.state.in_flight, engine.state.tokens) == (1, tokens_before)

            await wait_until(is_there, "the stream did not begin")
            how(raw)
            await wait_idle(engine)
            assert engine.state.cancelled == 1
            assert await fleet.hosts["entry-1"].entry.stop() == 0
            assert await fleet.hosts["entry-1"].router.stop() == 0

    asyncio.run(check())
