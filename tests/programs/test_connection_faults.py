"""Tests for broken and stalled connections between real processes.

Callers must get either a complete response or an error.
"""

import asyncio

import pytest

from tests.programs.common import (
    TOKENS,
    all_complete,
    running_fleet,
    start_chats,
    wait_idle,
    wait_streaming,
)
from tests.standins.black_hole import BlackHole
from tests.standins.caller import wait_until
from tests.standins.raw_caller import LAST_CHUNK, RawCaller, chat_request

ONE_HOST = {"entry-1": "walvis-a"}
SAME_ZONE = {"entry-1": "walvis-a", "entry-2": "walvis-a"}
STREAMS = 3
IDLE_TIMEOUT_ARGS = ("--between-bytes-bound-s", "1")
SHORT_TIMEOUTS = {
    "entry_args": ("--balancer-lag-s", "0", "--peer-silence-bound-s", "1"),
    "router_args": (
        "--heartbeat-interval-s",
        "0.2",
        "--roster-interval-s",
        "0.2",
        *IDLE_TIMEOUT_ARGS,
    ),
}


def test_streams_continue_when_their_owner_is_killed(tmp_path):
    async def check() -> None:
        async with running_fleet(tmp_path, SAME_ZONE, **SHORT_TIMEOUTS) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            response = await callers[0].chat("c", "x")
            assert response.status == 200
            tasks = start_chats(callers[0], STREAMS)
            await wait_streaming([engine], STREAMS)
            await fleet.hosts[owner_of_engine(tmp_path)].router.kill()
            fleet.remove_from_list(owner_of_engine(tmp_path))
            assert await all_complete(tasks)
            assert engine.state.resumed >= STREAMS

    asyncio.run(check())


def owner_of_engine(log_dir) -> str:
    """Return the host whose router logged a response of the engine."""
    for name in SAME_ZONE:
        if "forecast-0" in (log_dir / f"router-{name}.log").read_text():
            return name
    raise AssertionError("no router has served the engine")


@pytest.mark.parametrize("is_stored", [True, False], ids=["stored", "forgotten"])
def test_a_stream_whose_engine_connection_breaks_is_resumed_or_ends_with_an_error(
    tmp_path, is_stored
):
    async def check() -> None:
        async with running_fleet(tmp_path, ONE_HOST, **SHORT_TIMEOUTS) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.faults.break_after_tokens = 5
            engine.state.faults.forget_streams = not is_stored
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request("text", TOKENS))
            if is_stored:
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
def test_streams_continue_when_a_connection_stalls(tmp_path, place):
    async def check() -> None:
        async with running_fleet(tmp_path, ONE_HOST, **SHORT_TIMEOUTS) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            entries = fleet.store.state.host_list
            name = "entry-1" if place == "router" else "forecast-0"
            entry = next(entry for entry in entries if entry["name"] == name)
            async with BlackHole(entry["address"]) as hole:
                entry["address"] = hole.address

                async def is_used() -> bool:
                    await callers[0].chat("c", "x")
                    return hole.connections > 0

                await wait_until(is_used, "no connection goes through the forwarder")
                tasks = start_chats(callers[0], STREAMS)
                await wait_streaming([engine], STREAMS)
                hole.drop_data()
                assert await all_complete(tasks)
                assert engine.state.resumed >= STREAMS

    asyncio.run(check())


def close(raw: RawCaller) -> None:
    raw.close()


def close_sending_side(raw: RawCaller) -> None:
    raw.writer.write_eof()


@pytest.mark.parametrize("disconnect", [close, close_sending_side])
@pytest.mark.parametrize("tokens_before", [0, 5])
def test_a_request_is_cancelled_at_the_engine_when_its_caller_disconnects(
    tmp_path, tokens_before, disconnect
):
    async def check() -> None:
        async with running_fleet(tmp_path, ONE_HOST) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.faults.stall_after_tokens = tokens_before
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request("text", TOKENS))

            async def has_begun() -> bool:
                return (engine.state.in_flight, engine.state.tokens) == (1, tokens_before)

            await wait_until(has_begun, "the stream did not begin")
            disconnect(raw)
            await wait_idle(engine)
            assert engine.state.cancelled == 1
            assert await fleet.hosts["entry-1"].entry.stop() == 0
            assert await fleet.hosts["entry-1"].router.stop() == 0

    asyncio.run(check())
