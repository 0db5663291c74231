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
from tests.standins.claims_cluster import Cluster, Entry

Fault = Callable[[Cluster, str], Awaitable[None]]
PAUSED_TRY_TIMEOUT_S = 0.5  # above the time that a router gathers endings
OK, REPLAYED = "ok", "replayed"
NOT_RUN, UNKNOWN = RunState.NOT_RUN.value, RunState.UNKNOWN.value
IN_PROGRESS, ATTEMPT = RunState.IN_PROGRESS.value, RunState.ATTEMPT_NOT_RUN.value


@dataclass(frozen=True)
class FaultCase:
    """A fault case, the verdict on the retry after it, and the runs in the end."""

    name: str
    fault: Fault
    retry_outcome: str
    runs: int


async def _start_held(cluster: Cluster, gate, key: str) -> "asyncio.Task":
    """Start a commit through the first entry and wait until it reaches `gate`."""
    task = cluster.entries[0].start(key)
    await gate.reached.wait()
    return task


def kill_entry(part: str, step: str) -> Fault:
    """Kill the entry when its commit reaches `step` of its link or owner."""

    async def inject(cluster: Cluster, key: str) -> None:
        entry = cluster.entries[0]
        gate = getattr(entry, part).gates.hold(step)
        task = await _start_held(cluster, gate, key)
        entry.kill()
        task.cancel()
        await asyncio.wait({task})
        gate.open.set()

    return inject


def kill_shard_owner(step: str) -> Fault:
    """Kill the first router when its write reaches `step`; the entry goes to the second."""

    async def inject(cluster: Cluster, key: str) -> None:
        gate = cluster.routers[0].platform.gates.hold(step)
        task = await _start_held(cluster, gate, key)
        cluster.routers[0].kill()
        await task
        await cluster.entries[0].wait_settled()

    return inject


def kill_shard_owner_at_settle(step: str) -> Fault:
    """Kill the first router when it records the outcome."""

    async def inject(cluster: Cluster, key: str) -> None:
        gate_ran = cluster.entries[0].owner.gates.hold("ran")
        task = await _start_held(cluster, gate_ran, key)
        gate = cluster.routers[0].platform.gates.hold(step)
        gate_ran.open.set()
        await task
        await gate.reached.wait()
        cluster.routers[0].kill()
        await cluster.entries[0].wait_settled()

    return inject


def pause_shard_owner(step: str) -> Fault:
    """Pause the first router at `step` until the second has done all the work, then wake it."""

    async def inject(cluster: Cluster, key: str) -> None:
        gate = cluster.routers[0].platform.gates.hold(step)
        cluster.entries[0].link.try_timeout_s = PAUSED_TRY_TIMEOUT_S
        task = await _start_held(cluster, gate, key)
        await task
        gate.open.set()
        await cluster.entries[0].wait_settled()

    return inject


def owner_fault(**faults: int) -> Fault:
    """Have the target's owner fail in the way of `faults`."""

    async def inject(cluster: Cluster, key: str) -> None:
        for name, value in faults.items():
            setattr(cluster.entries[0].owner, name, value)
        await cluster.entries[0].send(key)
        await cluster.entries[0].wait_settled()

    return inject


async def relay_raises(cluster: Cluster, key: str) -> None:
    """Have the relay end with an exception after the request was sent."""
    cluster.entries[0].owner.raise_after = 1
    with suppress(ConnectionResetError):
        await cluster.entries[0].send(key)
    await cluster.entries[0].wait_settled()


def store_fault(at: str, **faults: int) -> Fault:
    """Have the store fail for all routers before the claim, or while the request runs."""

    async def inject(cluster: Cluster, key: str) -> None:
        entry = cluster.entries[0]
        gate = entry.owner.gates.hold("ran") if at == "running" else None
        task = await _start_held(cluster, gate, key) if gate else None
        for router in cluster.routers:
            for name, value in faults.items():
                setattr(router.platform.faults, name, value)
        if gate and task:
            gate.open.set()
        await (task or entry.send(key))
        for router in cluster.routers:
            router.platform.faults.down = False
        await entry.wait_settled()

    return inject


async def dropped_and_asked_elsewhere(cluster: Cluster, key: str) -> None:
    """Drop the write of a claim, and send the key through another router while it runs."""
    cluster.routers[0].platform.faults.drop_writes = 1
    cluster.entries[1].link.routers = cluster.routers[::-1]
    gate = cluster.entries[0].owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    await cluster.entries[1].send(key)
    gate.open.set()
    await task
    await cluster.entries[0].wait_settled()


async def down_and_kill(cluster: Cluster, key: str) -> None:
    """Lose the store while the request runs, and the whole fleet before the store is back."""
    entry = cluster.entries[0]
    gate = entry.owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    for router in cluster.routers:
        router.platform.faults.down = True
    gate.open.set()
    await task
    cluster.replace_fleet()


async def claim_written_late(cluster: Cluster, key: str) -> None:
    """Give up a claim whose write is on its way, and let the write go after the withdrawal."""
    entry = cluster.entries[0]
    gates = [router.platform.gates.hold("write") for router in cluster.routers]
    entry.link.try_timeout_s = PAUSED_TRY_TIMEOUT_S
    await entry.send(key)
    for gate in gates:
        gate.open.set()
    await entry.wait_settled()


async def claim_written_after_withdrawal(cluster: Cluster, key: str) -> None:
    """Withdraw a claim through another router while its write is on its way, then let it go."""
    entry, late = cluster.entries[0], cluster.routers[0]
    gate = late.platform.gates.hold("write")
    entry.link.routers = [late]
    entry.link.try_timeout_s = PAUSED_TRY_TIMEOUT_S
    task = await _start_held(cluster, gate, key)
    entry.link.routers = [cluster.routers[1]]
    await task
    await entry.wait_settled()
    gate.open.set()
    cluster.entries[1].link.routers = [late]


async def same_key_at_two_entries(cluster: Cluster, key: str) -> None:
    """Send the key through both entries at once, each with another router first."""
    cluster.entries[1].link.routers = cluster.routers[::-1]
    await asyncio.gather(cluster.entries[0].send(key), cluster.entries[1].send(key))
    await asyncio.gather(*(entry.wait_settled() for entry in cluster.entries))


async def both_routers_in_flight(cluster: Cluster, key: str) -> None:
    """Let two routers merge the same key into the same version before either writes."""
    cluster.entries[1].link.routers = cluster.routers[::-1]
    gates = [router.platform.gates.hold("write") for router in cluster.routers]
    tasks = [entry.start(key) for entry in cluster.entries]
    for gate in gates:
        await gate.reached.wait()
    for gate in gates:
        gate.open.set()
    await asyncio.gather(*tasks)
    await asyncio.gather(*(entry.wait_settled() for entry in cluster.entries))


async def restart_all(cluster: Cluster, key: str) -> None:
    """Run a commit to its end, then replace every entry and router."""
    await cluster.entries[0].send(key)
    await cluster.entries[0].wait_settled()
    cluster.replace_fleet()


async def restart_all_in_flight(cluster: Cluster, key: str) -> None:
    """Replace every entry and router while the request runs."""
    task = await _start_held(cluster, cluster.entries[0].owner.gates.hold("ran"), key)
    cluster.replace_fleet()
    task.cancel()
    await asyncio.wait({task})


async def caller_leaves_running(cluster: Cluster, key: str) -> None:
    """Have the caller leave while the request runs; its outcome is still recorded."""
    gate = cluster.entries[0].owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await cluster.entries[0].wait_settled()


async def caller_leaves_claiming(cluster: Cluster, key: str) -> None:
    """Have the caller leave while its claim is being written; the claim is withdrawn."""
    gate = cluster.routers[0].platform.gates.hold("written")
    task = await _start_held(cluster, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await cluster.entries[0].wait_settled()


def paused_entry(part: str, step: str) -> Fault:
    """Pause the entry at `step` past its deadline, retry elsewhere, then wake it."""

    async def inject(cluster: Cluster, key: str) -> None:
        entry: Entry = cluster.entries[0]
        gate = getattr(entry, part).gates.hold(step)
        deadline_at = asyncio.get_running_loop().time() + 0.3
        task = entry.start(key, deadline_at=deadline_at)
        await gate.reached.wait()
        await cluster.entries[1].send(key)
        while asyncio.get_running_loop().time() < deadline_at:
            await cluster.entries[1].send(key)
        gate.open.set()
        await task
        await entry.wait_settled()

    return inject


PAUSE_CASES = [
    FaultCase("entry paused before its claim", paused_entry("link", "claim"), REPLAYED, 1),
    FaultCase("entry paused with its claim granted", paused_entry("link", "claimed"), OK, 1),
    FaultCase("entry paused with the request running", paused_entry("owner", "ran"), REPLAYED, 1),
]
FAULT_CASES = [
    FaultCase("entry killed before its claim is sent", kill_entry("link", "claim"), OK, 1),
    FaultCase("entry killed with its claim granted", kill_entry("link", "claimed"), IN_PROGRESS, 0),
    FaultCase(
        "entry killed before the request is sent", kill_entry("owner", "send"), IN_PROGRESS, 0
    ),
    FaultCase("entry killed with the request running", kill_entry("owner", "ran"), IN_PROGRESS, 1),
    FaultCase(
        "entry killed before the outcome is told", kill_entry("link", "settle"), IN_PROGRESS, 1
    ),
    FaultCase("shard owner killed before it reads", kill_shard_owner("read"), REPLAYED, 1),
    FaultCase("shard owner killed before it writes", kill_shard_owner("write"), REPLAYED, 1),
    FaultCase("shard owner killed after its write", kill_shard_owner("written"), REPLAYED, 1),
    FaultCase(
        "shard owner killed before an outcome", kill_shard_owner_at_settle("write"), REPLAYED, 1
    ),
    FaultCase(
        "shard owner killed after an outcome", kill_shard_owner_at_settle("written"), REPLAYED, 1
    ),
    FaultCase("shard owner paused before it writes", pause_shard_owner("write"), REPLAYED, 1),
    FaultCase("shard owner paused after its write", pause_shard_owner("written"), REPLAYED, 1),
    FaultCase("target owner refuses", owner_fault(refuse=2), OK, 1),
    FaultCase("first target owner refuses", owner_fault(refuse=1), REPLAYED, 1),
    FaultCase("target owner killed before it sends", owner_fault(break_before=1), UNKNOWN, 0),
    FaultCase("target owner killed after it sent", owner_fault(break_after=1), UNKNOWN, 1),
    FaultCase("relay raises after it sent", relay_raises, UNKNOWN, 1),
    FaultCase(
        "store's answer to the claim lost", store_fault("claim", lose_responses=1), REPLAYED, 1
    ),
    FaultCase("store drops the claim's write", store_fault("claim", drop_writes=1), REPLAYED, 1),
    FaultCase(
        "store's answer to the outcome lost", store_fault("running", lose_responses=1), REPLAYED, 1
    ),
    FaultCase("store drops the claim, retry elsewhere", dropped_and_asked_elsewhere, REPLAYED, 1),
    FaultCase(
        "store drops the outcome's write", store_fault("running", drop_writes=1), REPLAYED, 1
    ),
    FaultCase("store down before the claim", store_fault("claim", down=True), OK, 1),
    FaultCase("store down while the request runs", store_fault("running", down=True), REPLAYED, 1),
    FaultCase("store down, fleet killed before the outcome", down_and_kill, IN_PROGRESS, 1),
    FaultCase("claim given up, its write lands later", claim_written_late, OK, 1),
    FaultCase("claim withdrawn, its write goes later", claim_written_after_withdrawal, OK, 1),
    FaultCase("same key at two entries", same_key_at_two_entries, REPLAYED, 1),
    FaultCase("same key in two routers' writes", both_routers_in_flight, REPLAYED, 1),
    FaultCase("fleet replaced after the answer", restart_all, REPLAYED, 1),
    FaultCase("fleet replaced with the request running", restart_all_in_flight, IN_PROGRESS, 1),
    FaultCase("caller leaves with the request running", caller_leaves_running, REPLAYED, 1),
    FaultCase("caller leaves while the claim is written", caller_leaves_claiming, OK, 1),
    *PAUSE_CASES,
]


async def run_case(case: FaultCase) -> tuple[Cluster, str]:
    """Run the case of `case` and a retry through the second entry; return its verdict."""
    async with Cluster() as cluster:
        key = str(uuid_utils.uuid7())
        await case.fault(cluster, key)
        retry = await cluster.entries[1].send(key)
        await cluster.entries[1].wait_settled()
    return cluster, retry.outcome
