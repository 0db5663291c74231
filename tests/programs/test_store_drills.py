"""Tests of six hosts in four zones whose store goes away and comes back, with real processes.

The last changes are checked against the bounds of the users' rules, for all hosts and all requests.
"""

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import pytest

from soak.hosts import SoakHost
from soak.proxy import ProxyMode
from tests.standins.node_fleet import API_KEY, manifest, wait_until
from tests.standins.process_fleet import HTTP_OK, ROUTE, ProcessFleet, running_fleet

ZONES = "aabbcd"  # one host alone in its zone, as the fleet of the incident had
CONFIG_S = DRAIN_S = 2.0  # bounds, from the acknowledgement of a change
EVACUATION_S = 5.0
SETTLE_S = 3.0
LOST_S = 3.0  # age of the copy
AWAY_S = 1.0
RELISTED_S = 2.3  # after which its peers stop using a record that the store lost
OBSERVED_S = 1.5  # beyond the longest bound
OPERATORS_KINDS = ("config", "servers", "evacuations")
WITHDRAWN_KEY = "key-2"
OLD_PATH, NEW_PATH = "/commit/", "/order/"
DENIED = (401, 404)


@dataclass(frozen=True)
class Sample:
    """The response to a request that was sent at `at`, in seconds on the monotonic clock."""

    at: float
    path: str
    key: str
    status: int


def table(version: int, prefix: str, *keys: str) -> dict[str, object]:
    tenants = [{"name": "team-1", "api_keys": list(keys)}]
    return manifest(version, routes=[{**ROUTE, "prefix": prefix}], tenants=tenants)


async def sample(fleet: ProcessFleet, host: SoakHost, samples: list[Sample]) -> None:
    """Send requests on both routes and with both keys in turn, until cancelled."""
    number = 0
    while True:
        for path in (OLD_PATH, NEW_PATH):
            for key in (API_KEY, WITHDRAWN_KEY):
                number, at = number + 1, time.monotonic()
                response = await fleet.send(host, number, path, X_Api_Key=key)
                samples.append(Sample(at, path, key, response.status))
        await asyncio.sleep(0.02)


async def restore(fleet: ProcessFleet, lost_s: float = LOST_S, away_s: float = AWAY_S) -> None:
    """Let the store lose some seconds in which operators were at work, and come back."""
    copy = fleet.store.copy()
    await fleet.store.put("evacuations", "c", {})
    for version in range(2, 8):
        await fleet.store.put("config", "main", table(version, OLD_PATH, API_KEY, WITHDRAWN_KEY))
        await asyncio.sleep(lost_s / 6)
    await fleet.store.remove("evacuations", "c")
    _, lost = fleet.store.copy()
    fleet.store.go_away()
    await asyncio.sleep(away_s)
    fleet.store.restore(copy)
    await fleet.store.come_back()
    await fleet.store.write_again(OPERATORS_KINDS, lost)


async def return_without_loss(fleet: ProcessFleet) -> None:
    fleet.store.go_away()
    await asyncio.sleep(AWAY_S)
    await fleet.store.come_back()


async def lose_nothing(fleet: ProcessFleet) -> None:
    """Write what `restore` writes, with an outage of the same length and without loss."""
    await fleet.store.put("evacuations", "c", {})
    for version in range(2, 8):
        await fleet.store.put("config", "main", table(version, OLD_PATH, API_KEY, WITHDRAWN_KEY))
        await asyncio.sleep(LOST_S / 6)
    await fleet.store.remove("evacuations", "c")
    await return_without_loss(fleet)


async def restore_twice(fleet: ProcessFleet) -> None:
    await restore(fleet, lost_s=1.0, away_s=0.3)
    await restore(fleet, lost_s=1.0, away_s=0.3)


async def restore_and_kill_all(fleet: ProcessFleet) -> None:
    restart = asyncio.create_task(fleet.restart(fleet.hosts))
    await restore(fleet)
    await restart
    await fleet.wait_serving(fleet.hosts)


async def restore_and_kill_most(fleet: ProcessFleet) -> None:
    """Kill all hosts but the one that is alone in its zone."""
    copy_is_read = asyncio.create_task(restore(fleet))
    await asyncio.sleep(LOST_S)
    await fleet.restart(fleet.hosts[:-1])
    await copy_is_read
    await fleet.wait_serving(fleet.hosts)


async def restore_while_hosts_are_refused(fleet: ProcessFleet) -> None:
    """The store refuses a third of the hosts from before the drill on; their peers reach it."""
    for host in (fleet.hosts[1], fleet.hosts[3]):
        host.store_proxy.mode = ProxyMode.REFUSE
        host.store_proxy.reset_all()
    await asyncio.sleep(SETTLE_S)
    await restore(fleet, lost_s=5.0)


DRILLS = [
    restore,
    return_without_loss,
    restore_twice,
    restore_and_kill_all,
    restore_and_kill_most,
    restore_while_hosts_are_refused,
]


@pytest.mark.parametrize("drill", DRILLS)
def test_changes_are_in_force_on_all_hosts_after_the_store_came_back(drill, tmp_path):
    """Guards against the incident of issue 59 (CONFIG, EVAC, DRAIN)."""

    async def check() -> None:
        async with running_fleet(ZONES, tmp_path) as fleet:
            await fleet.store.put("config", "main", table(1, OLD_PATH, API_KEY, WITHDRAWN_KEY))
            await asyncio.sleep(SETTLE_S)
            await drill(fleet)
            await asyncio.sleep(SETTLE_S)
            await fleet.store.put("config", "main", table(20, NEW_PATH, API_KEY))
            await fleet.store.put("evacuations", "c", {})
            await fleet.register("plain-0", zone="a", state="draining")
            changed_at = time.monotonic()
            samples: list[Sample] = []
            tasks = [asyncio.create_task(sample(fleet, host, samples)) for host in fleet.hosts]
            await asyncio.sleep(EVACUATION_S + OBSERVED_S)
            for task in tasks:
                task.cancel()
            assert count_breaks(fleet, samples, changed_at) == {}
            assert any(each.status == HTTP_OK for each in samples)

    asyncio.run(check())


def count_breaks(fleet: ProcessFleet, samples: list[Sample], changed_at: float) -> Counter[str]:
    breaks: Counter[str] = Counter()
    for each in samples:
        if each.at <= changed_at + CONFIG_S:
            continue
        is_allowed = (each.path, each.key) == (NEW_PATH, API_KEY)
        if is_allowed and each.status in DENIED:
            breaks["CONFIG: refused, though the route and the key are there"] += 1
        if not is_allowed and each.status == HTTP_OK:
            breaks["CONFIG: run with a dropped route or key"] += 1
    for arrival in fleet.arrivals:
        if arrival.replica == "plain-0" and arrival.at > changed_at + DRAIN_S:
            breaks["DRAIN: reached the leaving target"] += 1
        if arrival.replica == "plain-2" and arrival.at > changed_at + EVACUATION_S:
            breaks["EVAC: reached a target of the excluded zone"] += 1
    return breaks


def test_a_host_that_started_in_the_lost_seconds_is_listed_again(tmp_path):
    """Guards against taking what the store has accepted to be stored for ever."""

    async def check() -> None:
        async with AsyncExitStack() as stack:
            fleet = await stack.enter_async_context(running_fleet(ZONES, tmp_path))
            await asyncio.sleep(SETTLE_S)
            late, *_ = fleet.hosts
            await late.stop(9)
            del fleet.store.objects["almondspindle-hosts"][late.name]
            copy = fleet.store.copy()
            await late.start()
            await fleet.wait_serving([late])
            await wait_until(lambda: late.name in fleet.store.objects["almondspindle-hosts"])
            _, lost = fleet.store.copy()
            fleet.store.go_away()
            await asyncio.sleep(AWAY_S)
            fleet.store.restore(copy)
            await fleet.store.come_back()
            await fleet.store.write_again(OPERATORS_KINDS, lost)
            assert late.name not in fleet.store.objects["almondspindle-hosts"]
            hosts = fleet.store.objects["almondspindle-hosts"]
            await wait_until(lambda: late.name in hosts, timeout_s=RELISTED_S)

    asyncio.run(check())


def test_a_drill_costs_at_most_twice_the_calls_of_an_outage(tmp_path):
    """Guards against reads of all topics again and again while the era rises."""

    async def count_calls(drill, logs: Path) -> int:
        async with running_fleet(ZONES, logs) as fleet:
            await asyncio.sleep(SETTLE_S)
            fleet.store.calls.clear()
            await drill(fleet)
            await asyncio.sleep(SETTLE_S)
            return len(fleet.store.calls)

    async def check() -> None:
        # Both have the same writes before the store goes away.
        outage = await count_calls(lose_nothing, outage_logs)
        assert await count_calls(restore, drill_logs) <= 2 * outage

    outage_logs, drill_logs = tmp_path / "outage", tmp_path / "drill"
    outage_logs.mkdir()
    drill_logs.mkdir()
    asyncio.run(check())
