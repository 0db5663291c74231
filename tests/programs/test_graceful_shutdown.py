"""Tests that a graceful shutdown of real processes completes requests in flight."""

import asyncio
import signal

import uuid_utils

from tests.programs.common import TOKENS, all_complete, running_fleet, start_chats, wait_streaming
from tests.standins.caller import wait_until
from tests.standins.raw_caller import RawCaller, chat_request

ONE_HOST = {"entry-1": "walvis-a"}
TWO_HOSTS = {"entry-1": "walvis-a", "entry-2": "swakop-a"}
STREAMS = 4
BALANCER_LAG_ARGS = ("--balancer-lag-s", "1.5")
LONG_STREAM_TOKENS = 3 * TOKENS
STREAMS_CUT_EVENT = "stop_cut_streams"


def test_an_entry_serves_until_it_is_out_of_the_balancer_and_aborts_no_request(tmp_path):
    async def check() -> None:
        async with running_fleet(tmp_path, ONE_HOST, entry_args=BALANCER_LAG_ARGS) as (
            fleet,
            callers,
        ):
            entry, engine = fleet.hosts["entry-1"].entry, fleet.engines["forecast-0"]
            fleet.engines["forecast-0"].state.cold_limit = 100
            caller = callers[0]
            idle = await RawCaller.connect(entry.address)
            await idle.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            await idle.read_until(b"ok\n")
            streaming = await RawCaller.connect(entry.address)
            await streaming.send(chat_request("kept", TOKENS))
            tasks = start_chats(caller, STREAMS - 1, LONG_STREAM_TOKENS)
            await wait_streaming([engine], STREAMS)
            entry.proc.send_signal(signal.SIGTERM)

            async def is_stopping() -> bool:
                return (await caller.send("GET", "/readyz")).status == 503

            await wait_until(is_stopping, "/readyz does not report the shutdown")
            late = await caller.read()
            assert (late.status, late.headers["Connection"]) == (200, "close")
            entry.proc.send_signal(signal.SIGTERM)
            _, body = await streaming.read_message()
            assert body.endswith(b"data: [DONE]\n\n")
            assert await streaming.read_rest() == b""
            assert engine.state.in_flight == STREAMS - 1
            assert await all_complete(tasks, LONG_STREAM_TOKENS)
            assert await idle.read_rest() == b""
            assert await entry.stop() == 0

    asyncio.run(check())
    assert STREAMS_CUT_EVENT not in (tmp_path / "entry-entry-1.log").read_text()


def test_an_entry_logs_how_many_streams_its_shutdown_aborts(tmp_path):
    async def check() -> None:
        args = ("--balancer-lag-s", "0", "--stop-bound-s", "0.1")
        async with running_fleet(tmp_path, ONE_HOST, entry_args=args) as (fleet, _):
            entry = fleet.hosts["entry-1"].entry
            raw = await RawCaller.connect(entry.address)
            await raw.send(chat_request("long", 10_000))
            await wait_streaming([fleet.engines["forecast-0"]], 1)
            assert await entry.stop() == 0
            assert not (await raw.read_rest()).endswith(b"0\r\n\r\n")

    asyncio.run(check())
    assert '"streams":1' in (tmp_path / "entry-entry-1.log").read_text()


def test_a_router_aborts_no_request_and_its_entry_uses_another_router(tmp_path):
    async def check() -> None:
        async with running_fleet(tmp_path, TWO_HOSTS) as (fleet, callers):
            engines = list(fleet.engines.values())
            router = fleet.hosts["entry-1"].router
            tasks = start_chats(callers[0], STREAMS) + start_chats(callers[1], STREAMS)
            await wait_streaming(engines, 2 * STREAMS)
            stopping = asyncio.ensure_future(router.stop())
            keys = [str(uuid_utils.uuid7()) for _ in range(6)]
            for number, key in enumerate(keys):
                response = await callers[number % 2].commit(key)
                assert (response.status, fleet.commits.runs[key]) == (200, 1)
            assert await all_complete(tasks[:STREAMS])
            assert await all_complete(tasks[STREAMS:])
            assert await stopping == 0
            fleet.remove_from_list("entry-1")
            for caller in callers:
                assert (await caller.chat("later", "later")).is_complete_stream("later", 8)

            async def in_force() -> bool:
                return (await callers[0].chat("c", "x")).status == 401

            fleet.configure({"teams": [], "services": [], "zones": [], "targets": []})
            await wait_until(in_force, "the entry no longer receives configurations")

    asyncio.run(check())
    assert STREAMS_CUT_EVENT not in (tmp_path / "router-entry-1.log").read_text()
