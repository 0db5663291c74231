"""Tests of the command line with a running host: statements, documents, exit codes."""

import asyncio
import hashlib
import json

import uuid_utils

from tests.commands.common import run_command
from tests.standins.caller import Caller, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet

TOKEN = "maria-token"
TOKEN_DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
CREATE_OPERATOR = f'create operator maria with token_sha256="{TOKEN_DIGEST}" wait'


async def check_statements(tmp_path) -> None:
    async with Fleet() as fleet:
        fleet.configure(SAMPLE_CONFIG)
        fleet.add_engine("forecast-0", "walvis-a")
        fleet.add_service("dispatch-0", "walvis-a")
        await fleet.add_hosts({"entry-1": "walvis-a"})
        caller = Caller(fleet.hosts["entry-1"].entry.address)
        await wait_ready(caller)
        run = CommandRunner(fleet.store.url)
        await check_identity(run)
        await check_take_out_and_bring_back(run, caller)
        await check_document(run, tmp_path)
        await check_queries(run)
        await check_key(run, caller)
        fleet.store.state.faults.down = True
        assert (await run("exec", "show teams"))[0] == 3
        assert (await run("exec", "take zone walvis-a out"))[0] == 3


class CommandRunner:
    """Run commands against one platform with one token."""

    def __init__(self, url: str) -> None:
        self.url = url

    async def __call__(self, *args: str, token: str = TOKEN) -> tuple[int, str]:
        return await run_command(*args, "--platform", self.url, "--token", token)


async def check_identity(run: CommandRunner) -> None:
    assert (await run("check"))[0] == 1  # C001: no operator is configured
    status, out = await run("exec", CREATE_OPERATOR)
    assert (status, "in force on every live host" in out) == (0, True), out
    assert (await run("exec", "delete team grid-desk", token="wrong"))[0] == 2
    status, out = await run("history")
    assert "by first-operator" in out
    status, out = await run("exec", "set team grid-desk weight=2.5", "-o", "json")
    assert (status, json.loads(out)["changed"]) == (0, True)
    assert "by maria" in (await run("history"))[1]


async def check_take_out_and_bring_back(run: CommandRunner, caller: Caller) -> None:
    status, out = await run("exec", "take zone walvis-a out wait")
    assert (status, "in force on every live host" in out) == (0, True), out
    assert (await caller.chat("c", "x")).error["code"] == "zone_out"
    status, out = await run("explain", "chat", "c", "forecast-llm")
    assert (status, "walvis-a" in out) == (1, True), out
    assert (await run("exec", "bring zone walvis-a back wait"))[0] == 0

    async def is_served() -> bool:
        return (await caller.chat("c", "x")).status == 200

    await wait_until(is_served, "the zone does not serve chats after it was brought back")
    status, out = await run("explain", "chat", "c", "forecast-llm")
    assert (status, "1. forecast-0 in walvis-a, owner entry-1" in out) == (0, True), out


async def check_document(run: CommandRunner, tmp_path) -> None:
    status, exported = await run("export")
    assert status == 0
    path = tmp_path / "fleet.conf"
    path.write_text(exported + "create team night-shift with token_sha256=" + f'"{"1" * 64}"\n')
    status, out = await run("apply", str(path), "--dry-run")
    assert (status, "night-shift" in out, "nothing was changed" in out) == (0, True, True), out
    assert "night-shift" not in (await run("exec", "show teams"))[1]
    assert (await run("apply", str(path), "--if-version", "1"))[0] == 4
    assert (await run("apply", str(path)))[0] == 0
    assert "night-shift" in (await run("exec", "show teams"))[1]
    path.write_text("create team a with token_sha256=x\ntak zone b out\n")
    status, out = await run("apply", str(path))
    assert (status, "line 2" in out, "did you mean 'take'?" in out) == (2, True, True), out


async def check_queries(run: CommandRunner) -> None:
    status, out = await run("exec", "show targets fields name, owner where zone = walvis-a")
    assert (status, out.split()[2:4]) == (0, ["forecast-0", "entry-1"]), out
    status, out = await run("exec", "show targets where ownr = x")
    assert (status, "did you mean 'owner'?" in out) == (2, True), out
    assert (await run("status"))[0] == 0
    assert (await run("exec", "delete team no-such"))[0] == 2


async def check_key(run: CommandRunner, caller: Caller) -> None:
    key = str(uuid_utils.uuid7())
    assert (await caller.commit(key)).status == 200

    async def is_recorded() -> bool:
        out = (await run("explain", "key", key, "dispatch-app", "--team", "grid-desk"))[1]
        return "run state: run" in out

    await wait_until(is_recorded, "the outcome of the key is not reported")
    assert (await run("explain", "key", key, "dispatch-app"))[0] == 2


def test_statements_on_the_command_line(tmp_path):
    asyncio.run(check_statements(tmp_path))
