"""What the tests with real processes share."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.engine import Engine
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

TOKENS = 40
# Slow start and load bounds have tests of their own; here they would refuse streams at times.
NO_LIMITS = {"cold_limit": 100, "slow_start_s": 0.0, "load_floor": 100, "target_limit": 100}
PAUSE_S = 0.05

# The engines here have just started; what these tests send at once is above the usual limit of a
# cold engine, which tests of admission are about.
ROOMY_POLICY = {"cold_limit": 16, "load_floor": 16}
ROOMY_CONFIG = {
    **SAMPLE_CONFIG,
    "services": [
        {"name": "forecast-llm", "kind": "chat", "policy": ROOMY_POLICY},
        {"name": "dispatch-app", "kind": "plain"},
    ],
}


@asynccontextmanager
async def small_fleet(
    log_dir: Path, zones: dict[str, str], **settings
) -> AsyncIterator[tuple[Fleet, list[Caller]]]:
    """Start hosts with an engine and a plain replica in each zone; yield a caller per host."""
    async with Fleet(log_dir=str(log_dir), **settings) as fleet:
        fleet.configure(ROOMY_CONFIG)
        for number, zone in enumerate(sorted(set(zones.values()))):
            fleet.add_engine(f"forecast-{number}", zone, token_pause_s=PAUSE_S)
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
    """Wait until a chat passes: owners at their start wait for those before them."""

    async def serves() -> bool:
        return (await caller.chat("warm-up", "x", tokens=1)).status == 200

    await wait_until(serves, f"entry {caller.address} serves no chat")


async def wait_streaming(engines: list[Engine], count: int) -> None:
    """Wait until `count` requests are in flight at the engines and tokens have come."""

    async def is_streaming() -> bool:
        flowing = all(e.state.tokens for e in engines if e.state.in_flight)
        return flowing and sum(e.state.in_flight for e in engines) == count

    await wait_until(is_streaming, f"{count} streams are not in flight")


async def wait_idle(engine: Engine) -> None:
    """Wait until nothing is in flight at `engine`."""

    async def is_idle() -> bool:
        return engine.state.in_flight == 0

    await wait_until(is_idle, "the engine is not idle")


def start_chats(caller: Caller, count: int, tokens: int = TOKENS) -> list[asyncio.Task]:
    """Start `count` streams."""
    chats = (caller.chat(f"chat-{n}", f"text {n}", tokens) for n in range(count))
    return [asyncio.ensure_future(chat) for chat in chats]


async def all_whole(tasks: list[asyncio.Task], tokens: int = TOKENS) -> bool:
    """Return whether every stream that `start_chats` started came back whole."""
    answers = await asyncio.gather(*tasks)
    return all(a.is_complete_stream(f"text {n}", tokens) for n, a in enumerate(answers))
