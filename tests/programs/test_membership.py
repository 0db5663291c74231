"""Tests for membership between real routers.

One router is killed, paused, restarted or shut down.
"""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

ZONES = {"host-1": "walvis-a", "host-2": "walvis-a", "host-3": "swakop-a"}
ROUTER_ARGS = ("--probe-period-s", "0.2")
# Tests that wait for a condition poll with many reads, which the rate limit of the team would delay
# forever. It has its own tests.
HIGH_RATE_LIMIT = {"requests_per_s": 100_000}
NO_SLOW_START_CONFIG = {
    **SAMPLE_CONFIG,
    "teams": [{**team, **HIGH_RATE_LIMIT} for team in SAMPLE_CONFIG["teams"]],
    "services": [
        {"name": "forecast-llm", "kind": "chat", "policy": {"slow_start_s": 0.0}},
        {"name": "dispatch-app", "kind": "plain"},
    ],
}
LONG_TOKENS = 400
OWNERSHIP_STATUS_CHANGED, LEAVING_ANNOUNCED, OWNER_MOVED = 1313, 1315, 1310


def events(fleet: Fleet, host: str, number: int) -> list[dict]:
    """Return the messages of one event in the log of a host's router."""
    lines = Path(f"{fleet.log_dir}/router-{host}.log").read_text().splitlines()
    messages = (json.loads(line) for line in lines if f'"almondspindle:{number}"' in line)
    return list(messages)


async def wait_event(fleet: Fleet, host: str, number: int, **fields: object) -> None:
    async def is_logged() -> bool:
        logged = events(fleet, host, number)
        return any(all(e.get(k) == v for k, v in fields.items()) for e in logged)

    await wait_until(is_logged, f"{host} did not log {number} with {fields}")


async def wait_reads_succeed(fleet: Fleet, hosts: list[str]) -> None:
    """Wait until four consecutive reads succeed through the entry of each host."""
    for name in hosts:
        caller = Caller(fleet.hosts[name].entry.address)

        async def reads_succeed(caller: Caller = caller) -> bool:
            return all([(await caller.read()).status == 200 for _ in range(4)])

        await wait_until(reads_succeed, f"reads through {name} do not succeed")


def owner_of_dispatch(fleet: Fleet) -> str:
    """Return the host that owns the only replica of the plain service, from host-3's log."""
    moves = [e for e in events(fleet, "host-3", OWNER_MOVED) if e["after"] in ("host-1", "host-2")]
    return moves[-1]["after"]


async def kill_owner(fleet: Fleet, owner: str) -> None:
    await fleet.hosts[owner].router.kill()
    await wait_reads_succeed(fleet, list(ZONES))
    await wait_event(fleet, "host-3", OWNER_MOVED, before=owner, reason="owner dead")


async def restart_owner(fleet: Fleet, owner: str) -> None:
    await kill_owner(fleet, owner)
    host = fleet.hosts[owner]
    host.router = await fleet.start_router(owner, host.zone, host.router.address)
    await wait_event(fleet, "host-3", OWNER_MOVED, after=owner, reason="another host ranks higher")
    await wait_reads_succeed(fleet, list(ZONES))


async def pause_owner(fleet: Fleet, owner: str) -> None:
    proc = fleet.hosts[owner].router.proc
    proc.send_signal(signal.SIGSTOP)
    await wait_event(fleet, "host-3", OWNER_MOVED, before=owner, reason="owner dead")
    others = [name for name in ZONES if name != owner]
    await wait_reads_succeed(fleet, others)
    proc.send_signal(signal.SIGCONT)
    await wait_event(fleet, owner, OWNERSHIP_STATUS_CHANGED, after="paused")
    await wait_event(fleet, owner, OWNERSHIP_STATUS_CHANGED, before="paused", after="owning")
    await wait_event(fleet, "host-3", OWNER_MOVED, after=owner, reason="another host ranks higher")
    await wait_reads_succeed(fleet, list(ZONES))


async def shut_down_owner(fleet: Fleet, owner: str) -> None:
    caller = Caller(fleet.hosts["host-3"].entry.address)
    stream = asyncio.create_task(caller.chat("chat-1", "long", LONG_TOKENS))
    engine = fleet.engines["forecast-0"].state

    async def is_streaming() -> bool:
        return engine.in_flight > 0

    await wait_until(is_streaming, "the stream did not begin")
    stopped = asyncio.create_task(fleet.hosts[owner].router.stop())
    await wait_event(fleet, owner, LEAVING_ANNOUNCED)
    await wait_reads_succeed(fleet, ["host-3"])
    assert (await stream).is_complete_stream("long", LONG_TOKENS)
    assert await stopped == 0
    assert events(fleet, "host-3", OWNER_MOVED)[-1]["reason"] == "owner leaving"


async def run_case(case, log_dir: str) -> None:
    async with Fleet(log_dir=log_dir, router_args=ROUTER_ARGS) as fleet:
        fleet.configure(NO_SLOW_START_CONFIG)
        fleet.add_engine("forecast-0", "walvis-a", token_pause_s=0.005)
        fleet.add_service("dispatch-0", "walvis-a")
        await fleet.add_hosts(ZONES)
        for host in fleet.hosts.values():
            await wait_ready(Caller(host.entry.address))
        await wait_reads_succeed(fleet, list(ZONES))
        await case(fleet, owner_of_dispatch(fleet))


@pytest.mark.parametrize("case", [kill_owner, restart_owner, pause_owner, shut_down_owner])
def test_ownership_moves_when_a_router_fails_returns_or_leaves(case, tmp_path):
    asyncio.run(run_case(case, str(tmp_path)))
