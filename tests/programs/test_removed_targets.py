"""Tests of targets that leave while most hosts are killed, with real processes."""

import asyncio
import time

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score
from tests.standins.process_fleet import running_fleet

DRAIN_S = 2.0  # after which a target whose entry was removed gets no requests
ZONES = "aabbccdd"
KEPT = 2
SETTLE_S = 3.0
OBSERVED_S = 3.0  # beyond the bound


def test_a_target_removed_while_its_watchers_restart_gets_nothing_from_the_other_hosts(tmp_path):
    """Guards against taking the last change among the records that are left for the last one."""

    async def check() -> None:
        async with running_fleet(ZONES, tmp_path) as fleet:
            ranked = sorted(fleet.hosts, key=lambda host: score(Topic.TARGETS, host.name))
            kept, watchers = ranked[:KEPT], ranked[KEPT:]
            await asyncio.sleep(SETTLE_S)
            callers = [asyncio.create_task(fleet.call(host)) for host in kept]
            restart = asyncio.create_task(fleet.restart(watchers))
            await asyncio.sleep(0.05)  # the signals are sent
            await fleet.store.remove("servers", "plain-0")
            removed_at = time.monotonic()
            await restart
            await fleet.wait_serving(watchers)
            await asyncio.sleep(DRAIN_S + OBSERVED_S - (time.monotonic() - removed_at))
            for caller in callers:
                caller.cancel()
            late = [
                round(arrival.at - removed_at, 2)
                for arrival in fleet.arrivals
                if arrival.replica == "plain-0" and arrival.at > removed_at + DRAIN_S
            ]
            assert late == []
            assert len(fleet.arrivals) > 0

    asyncio.run(check())
