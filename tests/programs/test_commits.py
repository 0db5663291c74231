"""Tests that each commit runs at most once through real processes.

Processes are killed or paused and responses are lost while commits run.
"""

import asyncio
import signal

import uuid_utils

from tests.standins.caller import Caller, Response, wait_ready, wait_until
from tests.standins.fleet import SAMPLE_CONFIG, Fleet, Process

ZONES = {"entry-1": "walvis-a", "entry-2": "swakop-a"}


def new_key() -> str:
    return str(uuid_utils.uuid7())


def is_replayed(response: Response) -> bool:
    return response.status == 200 and response.headers.get("Idempotent-Replayed") == "true"


def refusal(response: Response) -> tuple[int, str]:
    return response.status, response.error["run_state"]


async def start_hosts(fleet: Fleet, zones: dict[str, str]) -> list[Caller]:
    await fleet.add_hosts(zones)
    callers = [Caller(fleet.hosts[name].entry.address) for name in zones]
    for caller in callers:
        await wait_ready(caller)
    return callers


async def check_commits() -> None:
    async with Fleet() as fleet:
        fleet.configure(SAMPLE_CONFIG)
        fleet.add_service("dispatch-0", "swakop-a")
        callers = await start_hosts(fleet, ZONES)
        done = await check_replay(fleet, callers)
        await check_lost_response(fleet, callers)
        await check_store_outage(fleet, callers)
        await check_paused_entry(fleet, callers)
        await check_killed_owner(fleet, callers)
        for host in fleet.hosts.values():
            await asyncio.gather(host.entry.kill(), host.router.kill())
            fleet.remove_from_list(host.name)
        callers = await start_hosts(fleet, {"entry-3": "swakop-a"})
        assert is_replayed(await callers[0].commit(done))
        assert set(fleet.commits.runs.values()) == {1}


async def check_replay(fleet: Fleet, callers: list[Caller]) -> str:
    """Run a commit. Its retry through the other entry gets the recorded response."""
    key = new_key()
    first = await callers[0].commit(key)
    assert (first.status, "Idempotent-Replayed" in first.headers) == (200, False)

    async def replays() -> bool:
        response = await callers[1].commit(key)
        assert response.status in (200, 409)
        return is_replayed(response) and response.body == first.body

    await wait_until(replays, "the outcome is not recorded")
    other = await callers[1].commit(key, b'{"other": 1}')
    assert (other.status, other.error["code"]) == (422, "idempotency_key_reused")
    assert fleet.commits.runs[key] == 1
    return key


async def check_lost_response(fleet: Fleet, callers: list[Caller]) -> None:
    """A target that reads a request and closes has run the commit; no retry runs it again."""
    key = new_key()
    fleet.commits.drop_responses = 1
    assert refusal(await callers[0].commit(key)) == (502, "outcome unknown")

    async def is_outcome_unknown() -> bool:
        return refusal(await callers[1].commit(key)) == (502, "outcome unknown")

    await wait_until(is_outcome_unknown, "the unknown outcome is not recorded")
    assert fleet.commits.runs[key] == 1


async def check_store_outage(fleet: Fleet, callers: list[Caller]) -> None:
    """Without the store there is no claim and nothing is sent; later, the key runs once."""
    key = new_key()
    fleet.store.state.faults.down = True
    run_state = "this attempt not run, earlier attempts unknown"
    assert refusal(await callers[0].commit(key)) == (503, run_state)
    assert fleet.commits.runs[key] == 0
    fleet.store.state.faults.down = False

    async def succeeds() -> bool:
        return (await callers[1].commit(key)).status == 200

    await wait_until(succeeds, "commits do not succeed after the store is available again")
    assert fleet.commits.runs[key] == 1


async def wait_run(fleet: Fleet, key: str) -> None:
    async def is_run() -> bool:
        return fleet.commits.runs[key] == 1

    await wait_until(is_run, "the commit does not reach the target")


async def check_paused_entry(fleet: Fleet, callers: list[Caller]) -> None:
    """Retries are refused while an entry is paused during a commit, which it then completes."""
    key = new_key()
    fleet.commits.may_respond = asyncio.Event()
    task = asyncio.ensure_future(callers[0].commit(key))
    await wait_run(fleet, key)
    entry: Process = fleet.hosts["entry-1"].entry
    entry.proc.send_signal(signal.SIGSTOP)
    try:
        assert refusal(await callers[1].commit(key)) == (409, "in progress")
        fleet.commits.may_respond.set()
        assert refusal(await callers[1].commit(key)) == (409, "in progress")
    finally:
        entry.proc.send_signal(signal.SIGCONT)
    assert (await task).status == 200

    async def replays() -> bool:
        return is_replayed(await callers[1].commit(key))

    await wait_until(replays, "the outcome is not recorded")
    assert fleet.commits.runs[key] == 1


async def check_killed_owner(fleet: Fleet, callers: list[Caller]) -> None:
    """A commit is not run again when the connection between entry and owner breaks."""
    key = new_key()
    fleet.commits.may_respond = asyncio.Event()
    task = asyncio.ensure_future(callers[0].commit(key))
    await wait_run(fleet, key)
    await fleet.hosts["entry-2"].router.kill()
    fleet.commits.may_respond.set()
    assert refusal(await task) == (502, "outcome unknown")
    fleet.remove_from_list("entry-2")

    async def is_outcome_unknown() -> bool:
        return refusal(await callers[0].commit(key)) == (502, "outcome unknown")

    await wait_until(is_outcome_unknown, "the unknown outcome is not recorded")
    assert fleet.commits.runs[key] == 1


def test_commits_run_once_through_real_processes():
    asyncio.run(check_commits())
