"""The steps of the demonstration. Each step prints one line when it has succeeded."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import uuid_utils

from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.controllers.configuration.manager import ConfigManager
from almondspindle.core.changes import BringBack, Change, ObjectKind, TakeOut
from almondspindle.core.clock import SystemClock
from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

ZONES = {"entry-1": "walvis-a", "entry-2": "swakop-a"}
CHATS = 12
CONCURRENT_CHATS = 4  # below the floor of the load bound, so that no chat moves to another target
TOKENS = 8
COMMITS = 6
ROLLOUT_TIMEOUT_S = 17.0
SWAKOP_ENGINES = frozenset({"forecast-2", "forecast-3"})


class DemoFailed(Exception):
    """A step of the demonstration failed."""


def check(condition: bool, message: str) -> None:
    """Raise `DemoFailed` with `message` unless `condition` holds."""
    if not condition:
        raise DemoFailed(message)


def print_step(text: str) -> None:
    """Print the line of a step that succeeded."""
    print(f"demo: {text}", flush=True)


@asynccontextmanager
async def running_fleet() -> AsyncIterator[tuple[Fleet, list[Caller]]]:
    """Start stand-ins and two hosts in two availability zones.

    Yield the fleet, and one caller per host once the hosts are ready.
    """
    async with Fleet() as fleet:
        fleet.configure(SAMPLE_CONFIG)
        for number, zone in enumerate(["walvis-a", "walvis-a", "swakop-a", "swakop-a"]):
            fleet.add_engine(f"forecast-{number}", zone)
        for number, zone in enumerate(ZONES.values()):
            fleet.add_service(f"dispatch-{number}", zone)
        await fleet.add_hosts(ZONES)
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
        yield fleet, callers


async def run_scenario() -> None:
    """Run all steps; raise `DemoFailed` at the first that fails."""
    async with running_fleet() as (fleet, callers):
        print_step("two entries and two routers are ready, with 4 engines and 2 plain replicas")
        first_targets = await send_chats(callers[0])
        print_step(f"{CHATS} streamed chats came back whole through the first entry")
        second_targets = await send_chats(callers[1])
        check(
            first_targets == second_targets,
            f"second turns reached other targets: {first_targets}, then {second_targets}",
        )
        print_step("their second turns, through the other entry, reached the same targets")
        await send_reads_and_commits(fleet, callers)
        print_step(f"{COMMITS} dispatch commits ran once each; status reads answered")
        await check_refusals(callers[0])
        print_step("malformed requests got a 4xx that says what to mend")
        await take_zone_out_and_back(fleet, callers)
        print_step(
            "availability zone swakop-a was taken out, got no new work, and was brought back"
        )
        await kill_router(fleet)
        print_step("one router was killed")
        await check_after_router_loss(callers)
        print_step("chats through both entries still come back whole")
        await send_reads_and_commits(fleet, callers)
        print_step("commits through both entries still run once each")


async def send_chats(caller: Caller) -> dict[str, str]:
    """Send one turn of each chat; return the target that served each chat."""
    responses = []
    for start in range(0, CHATS, CONCURRENT_CHATS):
        numbers = range(start, min(start + CONCURRENT_CHATS, CHATS))
        turns = (caller.chat(f"chat-{n}", f"turn of {n}", TOKENS) for n in numbers)
        responses += await asyncio.gather(*turns)
    for number, response in enumerate(responses):
        check(response.status == 200, f"chat {number}: {response.status} {response.body!r}")
        check(
            response.is_complete_stream(f"turn of {number}", TOKENS),
            f"chat {number}: the stream is incomplete",
        )
    return {f"chat-{n}": response.target for n, response in enumerate(responses)}


async def send_reads_and_commits(fleet: Fleet, callers: list[Caller]) -> None:
    """Send commits and reads through both entries; check that each commit ran exactly once.

    The count of runs comes from the stand-in of the service.
    """
    keys = [str(uuid_utils.uuid7()) for _ in range(COMMITS)]
    for number, key in enumerate(keys):
        response = await callers[number % len(callers)].commit(key)
        check(response.status == 200, f"commit: {response.status} {response.body!r}")
    check(all(fleet.commits.runs[key] == 1 for key in keys), "a commit did not run exactly once")
    for caller in callers:
        response = await caller.read()
        check(response.status == 200, f"status read: {response.status} {response.body!r}")


async def check_refusals(caller: Caller) -> None:
    """Send requests that must be refused, and check their status codes."""
    unknown_caller = Caller(caller.address, token="nobody")
    check(
        (await unknown_caller.chat("c", "x")).status == 401,
        "a request with an unknown team token was not refused",
    )
    malformed = await caller.send("POST", "/v1/chat/completions", b"{")
    check(malformed.status == 400, f"malformed JSON gave {malformed.status}")
    keyless = await caller.send("POST", "/services/dispatch-app/orders", b"{}")
    check(keyless.status == 400, f"a commit without key gave {keyless.status}")
    check((await caller.commit("not-a-key")).status == 400, "a malformed key was not refused")


async def take_zone_out_and_back(fleet: Fleet, callers: list[Caller]) -> None:
    """Take a zone out, check that no new work reaches its targets, and bring it back."""
    engine_states = [
        engine.state for name, engine in fleet.engines.items() if name in SWAKOP_ENGINES
    ]
    await apply_change(fleet, TakeOut(ObjectKind.ZONE, "swakop-a"))
    before = [state.requests for state in engine_states]
    for caller in callers:
        served = await send_chats(caller)
        check(not SWAKOP_ENGINES & set(served.values()), f"chats reached the zone: {served}")
    check(before == [state.requests for state in engine_states], "new work reached the zone")
    await apply_change(fleet, BringBack(ObjectKind.ZONE, "swakop-a"))

    async def receives_work() -> bool:
        for caller in callers:
            await send_chats(caller)
        return before != [state.requests for state in engine_states]

    # The targets of a zone that was brought back are in slow start: chats reach them with a delay.
    await wait_until(receives_work, "the zone receives no work after it was brought back")


async def apply_change(fleet: Fleet, *changes: Change) -> None:
    """Submit a change as operators do, and wait until it is in force on all hosts."""
    manager = ConfigManager(HttpPlatform(fleet.store.url), PeerConfigClient(), SystemClock())
    accepted = await manager.submit(changes, "demo")
    check(accepted.is_ok(), f"the change was refused: {accepted}")
    rollout = await manager.wait(accepted.ok.version, ROLLOUT_TIMEOUT_S)
    check(rollout.is_ok() and rollout.ok.is_complete, f"not in force on all hosts: {rollout}")


async def kill_router(fleet: Fleet) -> None:
    """Kill the router of the second host without removing it from the platform's list."""
    await fleet.hosts["entry-2"].router.kill()


async def check_after_router_loss(callers: list[Caller]) -> None:
    """Check that chats succeed at once, then wait until reads pass through both entries."""
    for caller in callers:
        await send_chats(caller)

        async def reads_pass(caller: Caller = caller) -> bool:
            responses = [await caller.read() for _ in range(4)]
            return all(response.status == 200 for response in responses)

        await wait_until(reads_pass, "reads do not succeed after the loss of a router")


async def keep_running() -> None:
    """Print the addresses of the fleet and keep it running until interrupted."""
    async with running_fleet() as (fleet, _):
        for name, host in fleet.hosts.items():
            print_step(
                f"{name} in {host.zone}: entry {host.entry.address}, router {host.router.address}"
            )
        print_step(f"platform stand-in: export ALMONDSPINDLE_PLATFORM={fleet.store.url}")
        print_step("team token: grid-desk-token; interrupt with Ctrl-C")
        await asyncio.Event().wait()
