"""The table of fault cases for claims. Each ends with a retry of its key through another entry.

A case returns after its fault; `run_case` then retries the key and returns the verdicts. They are
judged by the counts of `World`, which the stand-in for the service keeps.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import uuid_utils

from almondspindle.core.outcomes import RunState
from tests.standins.claims_world import Entry, World

Case = Callable[[World, str], Awaitable[None]]
PAUSED_TRY_S = 0.5  # above the time that a router gathers endings
OK, REPLAYED = "ok", "replayed"
NOT_RUN, UNKNOWN = RunState.NOT_RUN.value, RunState.UNKNOWN.value
PROGRESS, ATTEMPT = RunState.IN_PROGRESS.value, RunState.ATTEMPT_NOT_RUN.value


@dataclass(frozen=True)
class Row:
    """A fault case, the verdict on the retry after it, and the runs in the end."""

    name: str
    case: Case
    retry: str
    runs: int


async def _held(world: World, gate, key: str) -> "asyncio.Task":
    """Start a commit through the first entry and wait until it reaches `gate`."""
    task = world.entries[0].start(key)
    await gate.reached.wait()
    return task


def kill_entry(part: str, step: str) -> Case:
    """Kill the entry when its commit reaches `step` of its link or owner."""

    async def case(world: World, key: str) -> None:
        entry = world.entries[0]
        gate = getattr(entry, part).gates.hold(step)
        task = await _held(world, gate, key)
        entry.kill()
        task.cancel()
        await asyncio.wait({task})
        gate.open.set()

    return case


def kill_shard_owner(step: str) -> Case:
    """Kill the first router when its write reaches `step`; the entry goes to the second."""

    async def case(world: World, key: str) -> None:
        gate = world.routers[0].platform.gates.hold(step)
        task = await _held(world, gate, key)
        world.routers[0].kill()
        await task
        await world.entries[0].settled()

    return case


def kill_shard_owner_at_settle(step: str) -> Case:
    """Kill the first router when it records the outcome."""

    async def case(world: World, key: str) -> None:
        gate_ran = world.entries[0].owner.gates.hold("ran")
        task = await _held(world, gate_ran, key)
        gate = world.routers[0].platform.gates.hold(step)
        gate_ran.open.set()
        await task
        await gate.reached.wait()
        world.routers[0].kill()
        await world.entries[0].settled()

    return case


def pause_shard_owner(step: str) -> Case:
    """Pause the first router at `step` until the second has done all the work, then wake it."""

    async def case(world: World, key: str) -> None:
        gate = world.routers[0].platform.gates.hold(step)
        world.entries[0].link.try_s = PAUSED_TRY_S
        task = await _held(world, gate, key)
        await task
        gate.open.set()
        await world.entries[0].settled()

    return case


def owner_fault(**faults: int) -> Case:
    """Have the target's owner fail in the way of `faults`."""

    async def case(world: World, key: str) -> None:
        for name, value in faults.items():
            setattr(world.entries[0].owner, name, value)
        await world.entries[0].send(key)
        await world.entries[0].settled()

    return case


async def relay_raises(world: World, key: str) -> None:
    """Have the relay end with an exception after the request was sent."""
    world.entries[0].owner.raise_after = 1
    with suppress(ConnectionResetError):
        await world.entries[0].send(key)
    await world.entries[0].settled()


def store_fault(at: str, **faults: int) -> Case:
    """Have the store fail for all routers before the claim, or while the request runs."""

    async def case(world: World, key: str) -> None:
        entry = world.entries[0]
        gate = entry.owner.gates.hold("ran") if at == "running" else None
        task = await _held(world, gate, key) if gate else None
        for router in world.routers:
            for name, value in faults.items():
                setattr(router.platform.faults, name, value)
        if gate and task:
            gate.open.set()
        await (task or entry.send(key))
        for router in world.routers:
            router.platform.faults.down = False
        await entry.settled()

    return case


async def dropped_and_asked_elsewhere(world: World, key: str) -> None:
    """Drop the write of a claim, and send the key through another router while it runs."""
    world.routers[0].platform.faults.drop_writes = 1
    world.entries[1].link.routers = world.routers[::-1]
    gate = world.entries[0].owner.gates.hold("ran")
    task = await _held(world, gate, key)
    await world.entries[1].send(key)
    gate.open.set()
    await task
    await world.entries[0].settled()


async def down_and_kill(world: World, key: str) -> None:
    """Lose the store while the request runs, and the whole fleet before the store is back."""
    entry = world.entries[0]
    gate = entry.owner.gates.hold("ran")
    task = await _held(world, gate, key)
    for router in world.routers:
        router.platform.faults.down = True
    gate.open.set()
    await task
    world.new_fleet()


async def claim_written_late(world: World, key: str) -> None:
    """Give up a claim whose write is on its way, and let the write go after the withdrawal."""
    entry = world.entries[0]
    gates = [router.platform.gates.hold("write") for router in world.routers]
    entry.link.try_s = PAUSED_TRY_S
    await entry.send(key)
    for gate in gates:
        gate.open.set()
    await entry.settled()


async def claim_written_after_withdrawal(world: World, key: str) -> None:
    """Withdraw a claim through another router while its write is on its way, then let it go."""
    entry, late = world.entries[0], world.routers[0]
    gate = late.platform.gates.hold("write")
    entry.link.routers = [late]
    entry.link.try_s = PAUSED_TRY_S
    task = await _held(world, gate, key)
    entry.link.routers = [world.routers[1]]
    await task
    await entry.settled()
    gate.open.set()
    world.entries[1].link.routers = [late]


async def same_key_at_two_entries(world: World, key: str) -> None:
    """Send the key through both entries at once, each with another router first."""
    world.entries[1].link.routers = world.routers[::-1]
    await asyncio.gather(world.entries[0].send(key), world.entries[1].send(key))
    await asyncio.gather(*(entry.settled() for entry in world.entries))


async def both_routers_in_flight(world: World, key: str) -> None:
    """Let two routers merge the same key into the same version before either writes."""
    world.entries[1].link.routers = world.routers[::-1]
    gates = [router.platform.gates.hold("write") for router in world.routers]
    tasks = [entry.start(key) for entry in world.entries]
    for gate in gates:
        await gate.reached.wait()
    for gate in gates:
        gate.open.set()
    await asyncio.gather(*tasks)
    await asyncio.gather(*(entry.settled() for entry in world.entries))


async def restart_all(world: World, key: str) -> None:
    """Run a commit to its end, then replace every entry and router."""
    await world.entries[0].send(key)
    await world.entries[0].settled()
    world.new_fleet()


async def restart_all_in_flight(world: World, key: str) -> None:
    """Replace every entry and router while the request runs."""
    task = await _held(world, world.entries[0].owner.gates.hold("ran"), key)
    world.new_fleet()
    task.cancel()
    await asyncio.wait({task})


async def caller_leaves_running(world: World, key: str) -> None:
    """Have the caller leave while the request runs; its outcome is still recorded."""
    gate = world.entries[0].owner.gates.hold("ran")
    task = await _held(world, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await world.entries[0].settled()


async def caller_leaves_claiming(world: World, key: str) -> None:
    """Have the caller leave while its claim is being written; the claim is withdrawn."""
    gate = world.routers[0].platform.gates.hold("written")
    task = await _held(world, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await world.entries[0].settled()


def paused_entry(part: str, step: str) -> Case:
    """Pause the entry at `step` past its deadline, retry elsewhere, then wake it."""

    async def case(world: World, key: str) -> None:
        entry: Entry = world.entries[0]
        gate = getattr(entry, part).gates.hold(step)
        deadline_at = asyncio.get_running_loop().time() + 0.3
        task = entry.start(key, deadline_at=deadline_at)
        await gate.reached.wait()
        await world.entries[1].send(key)
        while asyncio.get_running_loop().time() < deadline_at:
            await world.entries[1].send(key)
        gate.open.set()
        await task
        await entry.settled()

    return case


PAUSED_ROWS = [
    Row("entry paused before its claim", paused_entry("link", "claim"), REPLAYED, 1),
    Row("entry paused with its claim granted", paused_entry("link", "claimed"), OK, 1),
    Row("entry paused with the request running", paused_entry("owner", "ran"), REPLAYED, 1),
]
ROWS = [
    Row("entry killed before its claim is sent", kill_entry("link", "claim"), OK, 1),
    Row("entry killed with its claim granted", kill_entry("link", "claimed"), PROGRESS, 0),
    Row("entry killed before the request is sent", kill_entry("owner", "send"), PROGRESS, 0),
    Row("entry killed with the request running", kill_entry("owner", "ran"), PROGRESS, 1),
    Row("entry killed before the outcome is told", kill_entry("link", "settle"), PROGRESS, 1),
    Row("shard owner killed before it reads", kill_shard_owner("read"), REPLAYED, 1),
    Row("shard owner killed before it writes", kill_shard_owner("write"), REPLAYED, 1),
    Row("shard owner killed after its write", kill_shard_owner("written"), REPLAYED, 1),
    Row("shard owner killed before an outcome", kill_shard_owner_at_settle("write"), REPLAYED, 1),
    Row("shard owner killed after an outcome", kill_shard_owner_at_settle("written"), REPLAYED, 1),
    Row("shard owner paused before it writes", pause_shard_owner("write"), REPLAYED, 1),
    Row("shard owner paused after its write", pause_shard_owner("written"), REPLAYED, 1),
    Row("target owner refuses", owner_fault(refuse=2), OK, 1),
    Row("first target owner refuses", owner_fault(refuse=1), REPLAYED, 1),
    Row("target owner killed before it sends", owner_fault(break_before=1), UNKNOWN, 0),
    Row("target owner killed after it sent", owner_fault(break_after=1), UNKNOWN, 1),
    Row("relay raises after it sent", relay_raises, UNKNOWN, 1),
    Row("store's answer to the claim lost", store_fault("claim", lose_answers=1), REPLAYED, 1),
    Row("store drops the claim's write", store_fault("claim", drop_writes=1), REPLAYED, 1),
    Row("store's answer to the outcome lost", store_fault("running", lose_answers=1), REPLAYED, 1),
    Row("store drops the claim, retry elsewhere", dropped_and_asked_elsewhere, REPLAYED, 1),
    Row("store drops the outcome's write", store_fault("running", drop_writes=1), REPLAYED, 1),
    Row("store down before the claim", store_fault("claim", down=True), OK, 1),
    Row("store down while the request runs", store_fault("running", down=True), REPLAYED, 1),
    Row("store down, fleet killed before the outcome", down_and_kill, PROGRESS, 1),
    Row("claim given up, its write lands later", claim_written_late, OK, 1),
    Row("claim withdrawn, its write goes later", claim_written_after_withdrawal, OK, 1),
    Row("same key at two entries", same_key_at_two_entries, REPLAYED, 1),
    Row("same key in two routers' writes", both_routers_in_flight, REPLAYED, 1),
    Row("fleet replaced after the answer", restart_all, REPLAYED, 1),
    Row("fleet replaced with the request running", restart_all_in_flight, PROGRESS, 1),
    Row("caller leaves with the request running", caller_leaves_running, REPLAYED, 1),
    Row("caller leaves while the claim is written", caller_leaves_claiming, OK, 1),
    *PAUSED_ROWS,
]


async def run_case(row: Row) -> tuple[World, str]:
    """Run the case of `row` and a retry through the second entry; return its verdict."""
    async with World() as world:
        key = str(uuid_utils.uuid7())
        await row.case(world, key)
        retry = await world.entries[1].send(key)
        await world.entries[1].settled()
    return world, retry.verdict
