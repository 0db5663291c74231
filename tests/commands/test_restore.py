"""Tests of `restore`, for a store that has lost the configuration, and of `history`."""

import asyncio
import json

from almondspindle.adapters.platform.stored_config import CONFIG_OBJECT
from tests.commands.common import run_command
from tests.standins.caller import Caller, wait_ready
from tests.standins.fleet import SAMPLE_CONFIG, Fleet


async def check_restore_and_history() -> None:
    async with Fleet() as fleet:
        fleet.configure(SAMPLE_CONFIG)
        await fleet.add_hosts({"entry-1": "walvis-a"})
        await wait_ready(Caller(fleet.hosts["entry-1"].entry.address))
        fleet.store.state.objects.clear()
        fleet.store.state.versions.clear()
        platform = ("--platform", fleet.store.url)
        status, out = await run_command("restore", *platform)
        assert (status, "version 2" in out) == (0, True), out
        stored = json.loads(fleet.store.state.objects[CONFIG_OBJECT][0])
        assert {team["name"] for team in stored["teams"]} == {"grid-desk", "plant-crews"}
        status, out = await run_command("history", *platform)
        assert (status, "create team grid-desk" in out) == (0, True), out
        assert (await run_command("history", *platform, "--count", "x"))[0] == 2
        fleet.store.state.faults.down = True
        for name, expected in (("restore", 3), ("history", 3)):
            status, out = await run_command(name, *platform)
            assert (status, "store is unavailable" in out) == (expected, True), out


def test_restore_and_history():
    asyncio.run(check_restore_and_history())
