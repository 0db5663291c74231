"""Tests for operators' changes through real processes.

Operators take zones and targets out of service and bring them back. Two of them write at the same
time, a router is killed, and the store becomes unavailable.
"""

import asyncio
import json

from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.controllers.configuration.manager import ConfigManager
from almondspindle.core.changes import BringBack, ObjectKind, SetFields, TakeOut
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import Intent
from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

ZONES = {"entry-1": "walvis-a", "entry-2": "swakop-a", "entry-3": "henties"}
# The high floor disables the load bound, which is not tested here.
HIGH_LIMITS_SERVICE = {"name": "forecast-llm", "kind": "chat", "policy": {"load_floor": 64}}
CONFIG = {**SAMPLE_CONFIG, "services": [HIGH_LIMITS_SERVICE, SAMPLE_CONFIG["services"][1]]}
REMAINING_HOSTS = ("entry-1", "entry-3")  # hosts whose routers keep running
ROLLOUT_TIMEOUT_S = 17.0
TOKENS = 60
CHATS = 24
CONCURRENT_CHATS = 4


def make_operator(fleet: Fleet) -> ConfigManager:
    return ConfigManager(HttpPlatform(fleet.store.url), PeerConfigClient(), SystemClock(), seed=1)


async def change(fleet: Fleet, *changes) -> int:
    operator = make_operator(fleet)
    accepted = await operator.submit(changes, "maria")
    assert accepted.is_ok(), accepted
    rollout = (await operator.wait(accepted.ok.version, ROLLOUT_TIMEOUT_S)).ok
    assert rollout.is_complete, rollout.lagging
    assert sum(len(status.entries) for status in rollout.completed) == len(ZONES)
    return accepted.ok.version


async def chats(callers: list[Caller], name: str) -> set[str]:
    """Send chats through all entries and return the targets that served them."""
    served = set()
    for start in range(0, CHATS, CONCURRENT_CHATS):
        turns = [
            callers[n % len(callers)].chat(f"{name}-{n}", "turn", 4)
            for n in range(start, start + CONCURRENT_CHATS)
        ]
        for response in await asyncio.gather(*turns):
            assert response.is_complete_stream("turn", 4), (response.status, response.body)
            served.add(response.target)
    return served


async def check_zone_out(fleet: Fleet, callers: list[Caller]) -> None:
    out = fleet.engines["forecast-1"].state
    streams = [
        asyncio.ensure_future(callers[n % 3].chat(f"long-{n}", "long", TOKENS)) for n in range(9)
    ]

    async def is_busy() -> bool:
        return out.in_flight > 0

    await wait_until(is_busy, "no stream runs in the zone")
    await change(fleet, TakeOut(ObjectKind.ZONE, "swakop-a"))
    requests_before = out.requests
    assert "forecast-1" not in await chats(callers, "out")
    assert out.requests == requests_before
    for response in await asyncio.gather(*streams):
        assert response.is_complete_stream("long", TOKENS)
    await change(fleet, *(TakeOut(ObjectKind.ZONE, zone) for zone in ZONES.values()))
    for caller in callers:
        response = await caller.chat("none", "turn")
        assert (response.status, response.error["code"]) == (503, "zone_out")
        assert response.error["run_state"] == "not run"
        assert int(response.headers["Retry-After"]) > 0
    await change(fleet, *(BringBack(ObjectKind.ZONE, zone) for zone in ZONES.values()))

    async def is_back_in_use() -> bool:
        return "forecast-1" in await chats(callers, "back")

    await wait_until(is_back_in_use, "the zone gets no requests after it is back in")


async def check_target_out(fleet: Fleet, callers: list[Caller]) -> None:
    await change(fleet, TakeOut(ObjectKind.TARGET, "forecast-0"))
    assert "forecast-0" not in await chats(callers, "target")
    await change(fleet, BringBack(ObjectKind.TARGET, "forecast-0"))


async def check_race(fleet: Fleet) -> None:
    """Two operators write concurrently while the responses to two writes are lost."""
    before = (await make_operator(fleet).read()).ok.config.version
    fleet.store.state.faults.lose_responses = 2
    changes = [SetFields(ObjectKind.TEAM, "grid-desk", {"weight": weight}) for weight in (3.0, 4.0)]
    outcomes = await asyncio.gather(
        *(make_operator(fleet).submit((change,), "racer") for change in changes)
    )
    assert sorted(outcome.ok.version for outcome in outcomes) == [before + 1, before + 2]
    history = (await make_operator(fleet).history(2)).ok
    assert {entry.operator for entry in history} == {"racer"}
    assert (await make_operator(fleet).wait(before + 2, ROLLOUT_TIMEOUT_S)).ok.is_complete


async def check_lost_router(fleet: Fleet) -> None:
    """An entry whose router is killed subscribes to another one, which reports its version."""
    await fleet.hosts["entry-2"].router.kill()
    fleet.remove_from_list("entry-2")

    async def all_subscribed() -> bool:
        statuses = await asyncio.gather(
            *(PeerConfigClient().status(fleet.hosts[n].router.address) for n in REMAINING_HOSTS)
        )
        return sum(len(status.entries) for status in statuses if status) == len(ZONES)

    await wait_until(all_subscribed, "the entry does not subscribe to another router")
    await change(fleet, TakeOut(ObjectKind.ZONE, "walvis-a"))
    await change(fleet, BringBack(ObjectKind.ZONE, "walvis-a"))


async def check_outage(fleet: Fleet, callers: list[Caller]) -> None:
    version = await change(fleet, TakeOut(ObjectKind.ZONE, "swakop-a"))
    operator = make_operator(fleet)
    fleet.store.state.faults.down = True
    refused = await operator.submit((BringBack(ObjectKind.ZONE, "swakop-a"),), "maria")
    assert refused.error.code == "store_unavailable"
    assert "stays in force" in refused.error.hint
    assert "forecast-1" not in await chats(callers, "outage")
    host = fleet.hosts["entry-3"]
    await host.router.kill()
    seeds = [fleet.hosts[name].router.address for name in ("entry-1", "entry-2")]
    fleet.router_args = ("--seeds", json.dumps(seeds))
    host.router = await fleet.start_router(host.name, host.zone, host.router.address)

    async def has_version() -> bool:
        status = await PeerConfigClient().status(host.router.address)
        return status is not None and status.version == version

    await wait_until(has_version, "a restarted router did not read the version from its peers")
    fleet.store.state.faults.down = False
    stored = (await operator.read()).ok
    assert stored.config.zone_intent("swakop-a") is Intent.OUT


async def check_all() -> None:
    async with Fleet() as fleet:
        fleet.configure(CONFIG)
        for number, zone in enumerate(ZONES.values()):
            fleet.add_engine(f"forecast-{number}", zone, token_pause_s=0.01)
        await fleet.add_hosts(ZONES)
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
        await check_zone_out(fleet, callers)
        await check_target_out(fleet, callers)
        await check_race(fleet)
        await check_lost_router(fleet)
        await check_outage(fleet, callers)


def test_configuration_through_processes():
    asyncio.run(check_all())
