"""The steps of the demonstration. Each prints one line."""

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
AT_ONCE = 4  # stays within the floor of the load bound, so no chat is pushed away
TOKENS = 8
COMMITS = 6
EVERYWHERE_S = 17.0
SWAKOP_ENGINES = frozenset({"forecast-2", "forecast-3"})


class DemoFailed(Exception):
    """A step of the demonstration went wrong."""


def check(condition: bool, why: str) -> None:
    """Raise `DemoFailed` with `why` unless `condition` holds."""
    if not condition:
        raise DemoFailed(why)


def step(text: str) -> None:
    """Print the line of a step that went right."""
    print(f"demo: {text}", flush=True)


@asynccontextmanager
async def bureau_fleet() -> AsyncIterator[tuple[Fleet, list[Caller]]]:
    """Start stand-ins and two hosts in two availability zones; yield them with a caller each."""
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
    """Run all steps; raise `DemoFailed` at the first that goes wrong."""
    async with bureau_fleet() as (fleet, callers):
        step("two entries and two routers are ready, with 4 engines and 2 plain replicas")
        first = await chats(callers[0])
        step(f"{CHATS} streamed chats came back whole through the first entry")
        second = await chats(callers[1])
        check(first == second, f"second turns went elsewhere: {first} {second}")
        step("their second turns, through the other entry, reached the same targets")
        await reads_and_commits(fleet, callers)
        step(f"{COMMITS} dispatch commits ran once each; status reads answered")
        await refusals(callers[0])
        step("malformed requests got a 4xx that says what to mend")
        await zone_out_and_back(fleet, callers)
        step("availability zone swakop-a was taken out, got no new work, and was brought back")
        await lose_router(fleet)
        step("one router was killed")
        await after_loss(callers)
        step("chats through both entries still come back whole")
        await reads_and_commits(fleet, callers)
        step("commits through both entries still run once each")


async def chats(caller: Caller) -> dict[str, str]:
    """Send one turn of each chat; return the target that served each."""
    answers = []
    for start in range(0, CHATS, AT_ONCE):
        numbers = range(start, min(start + AT_ONCE, CHATS))
        turns = (caller.chat(f"chat-{n}", f"turn of {n}", TOKENS) for n in numbers)
        answers += await asyncio.gather(*turns)
    for number, answer in enumerate(answers):
        check(answer.status == 200, f"chat {number}: {answer.status} {answer.body!r}")
        check(answer.is_complete_stream(f"turn of {number}", TOKENS), f"chat {number} is not whole")
    return {f"chat-{n}": answer.target for n, answer in enumerate(answers)}


async def reads_and_commits(fleet: Fleet, callers: list[Caller]) -> None:
    """Send commits through both entries in turn, and compare with the service's own count."""
    keys = [str(uuid_utils.uuid7()) for _ in range(COMMITS)]
    for number, key in enumerate(keys):
        answer = await callers[number % len(callers)].commit(key)
        check(answer.status == 200, f"commit: {answer.status} {answer.body!r}")
    check(all(fleet.commits.runs[key] == 1 for key in keys), "a commit did not run just once")
    for caller in callers:
        answer = await caller.read()
        check(answer.status == 200, f"status read: {answer.status} {answer.body!r}")


async def refusals(caller: Caller) -> None:
    """Send requests that must be refused."""
    stranger = Caller(caller.address, token="nobody")
    check((await stranger.chat("c", "x")).status == 401, "an unknown team was not refused")
    malformed = await caller.send("POST", "/v1/chat/completions", b"{")
    check(malformed.status == 400, f"malformed JSON gave {malformed.status}")
    keyless = await caller.send("POST", "/services/dispatch-app/orders", b"{}")
    check(keyless.status == 400, f"a commit without key gave {keyless.status}")
    check((await caller.commit("not-a-key")).status == 400, "a malformed key was not refused")


async def zone_out_and_back(fleet: Fleet, callers: list[Caller]) -> None:
    """Take a zone out, see that no new work reaches its targets, and bring it back."""
    engines = [engine.state for name, engine in fleet.engines.items() if name in SWAKOP_ENGINES]
    await change(fleet, TakeOut(ObjectKind.ZONE, "swakop-a"))
    before = [engine.requests for engine in engines]
    for caller in callers:
        served = await chats(caller)
        check(not SWAKOP_ENGINES & set(served.values()), f"new work in the zone: {served}")
    check(before == [engine.requests for engine in engines], "new work reached the zone")
    await change(fleet, BringBack(ObjectKind.ZONE, "swakop-a"))

    async def works_again() -> bool:
        for caller in callers:
            await chats(caller)
        return before != [engine.requests for engine in engines]

    # A zone that returns starts slowly, so its first chats come a little later.
    await wait_until(works_again, "the zone gets no work again")


async def change(fleet: Fleet, *changes: Change) -> None:
    """Make a change as operators do, and wait until it is in force everywhere."""
    operator = ConfigManager(HttpPlatform(fleet.store.url), PeerConfigClient(), SystemClock())
    accepted = await operator.submit(changes, "demo")
    check(accepted.is_ok(), f"the change was refused: {accepted}")
    rollout = await operator.wait(accepted.ok.version, EVERYWHERE_S)
    check(rollout.is_ok() and rollout.ok.is_complete, f"not in force everywhere: {rollout}")


async def lose_router(fleet: Fleet) -> None:
    """Kill the second host's router. The platform's list is not told."""
    await fleet.hosts["entry-2"].router.kill()


async def after_loss(callers: list[Caller]) -> None:
    """Wait until commits pass through both entries again; chats must succeed at once."""
    for caller in callers:
        await chats(caller)

        async def reads_pass(caller: Caller = caller) -> bool:
            answers = [await caller.read() for _ in range(4)]
            return all(answer.status == 200 for answer in answers)

        await wait_until(reads_pass, "reads do not pass after the loss of a router")


async def keep_up() -> None:
    """Keep the fleet up until interrupted, and print its addresses."""
    async with bureau_fleet() as (fleet, _):
        for name, host in fleet.hosts.items():
            step(f"{name} in {host.zone}: entry {host.entry.address}, router {host.router.address}")
        step(f"platform stand-in: export ALMONDSPINDLE_PLATFORM={fleet.store.url}")
        step("team token: grid-desk-token; interrupt with Ctrl-C")
        await asyncio.Event().wait()
