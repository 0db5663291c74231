"""Helpers for the tests with real processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.engine import Engine
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

TOKENS = 40
# Turns off slow start and load bounds, which would refuse some streams and have their own tests.
NO_LIMITS = {"cold_limit": 100, "slow_start_s": 0.0, "load_floor": 100, "target_limit": 100}
TOKEN_INTERVAL_S = 0.05

# The engines have just started, and these tests send more concurrent requests than the default
# limit of a cold engine allows. The tests of admission cover that limit.
HIGH_LIMITS_POLICY = {"cold_limit": 16, "load_floor": 16}
HIGH_LIMITS_CONFIG = {
    **SAMPLE_CONFIG,
    "services": [
        {"name": "forecast-llm", "kind": "chat", "policy": HIGH_LIMITS_POLICY},
        {"name": "dispatch-app", "kind": "plain"},
    ],
}


@asynccontextmanager
async def running_fleet(
    log_dir: Path, zones: dict[str, str], **settings
) -> AsyncIterator[tuple[Fleet, list[Caller]]]:
    """Run the hosts in `zones`, with an engine and a plain replica in each zone.

    Yield the fleet and one caller per host. Further `settings` are those of `Fleet`.
    """
    async with Fleet(log_dir=str(log_dir), **settings) as fleet:
        fleet.configure(HIGH_LIMITS_CONFIG)
        for number, zone in enumerate(sorted(set(zones.values()))):
            fleet.add_engine(f"forecast-{number}", zone, token_pause_s=TOKEN_INTERVAL_S)
            fleet.add_service(f"dispatch-{number}", zone)
        await fleet.add_hosts(zones)
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
            await wait_serving(caller)
        for engine in fleet.engines.values():
            engine.state.tokens = 0
        yield fleet, callers


async def wait_serving(caller: Caller) -> None:
    """Wait until a chat succeeds.

    After a start, owners first wait until previous owners have released their targets.
    """

    async def serves() -> bool:
        return (await caller.chat("warm-up", "x", tokens=1)).status == 200

    await wait_until(serves, f"entry {caller.address} serves no chat")


async def wait_streaming(engines: list[Engine], count: int) -> None:
    """Wait until `count` requests are in flight and each busy engine has sent tokens."""

    async def is_streaming() -> bool:
        have_begun = all(engine.state.tokens for engine in engines if engine.state.in_flight)
        return have_begun and sum(engine.state.in_flight for engine in engines) == count

    await wait_until(is_streaming, f"{count} streams are not in flight")


async def wait_idle(engine: Engine) -> None:
    """Wait until nothing is in flight at `engine`."""

    async def is_idle() -> bool:
        return engine.state.in_flight == 0

    await wait_until(is_idle, "the engine is not idle")


def start_chats(caller: Caller, count: int, tokens: int = TOKENS) -> list[asyncio.Task]:
    """Start `count` streams of `tokens` tokens each."""
    chats = (caller.chat(f"chat-{n}", f"text {n}", tokens) for n in range(count))
    return [asyncio.ensure_future(chat) for chat in chats]


async def all_complete(tasks: list[asyncio.Task], tokens: int = TOKENS) -> bool:
    """Wait for the streams of `start_chats`; return whether all of them are complete."""
    responses = await asyncio.gather(*tasks)
    return all(r.is_complete_stream(f"text {n}", tokens) for n, r in enumerate(responses))
