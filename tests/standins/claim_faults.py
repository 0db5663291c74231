"""Fault cases for claims, each followed by a retry of the same key through another entry.

A case sends a commit, injects its fault and returns. `run_case` then retries the key and returns
the outcome. Tests compare it with the runs that `Cluster` has counted.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import uuid_utils

from almondspindle.core.outcomes import RunState
from tests.standins.claims_cluster import Cluster, Entry

Fault = Callable[[Cluster, str], Awaitable[None]]
PAUSED_TRY_TIMEOUT_S = 0.5  # longer than a router delays settlements to batch them
OK, REPLAYED = "ok", "replayed"
NOT_RUN, UNKNOWN = RunState.NOT_RUN.value, RunState.UNKNOWN.value
IN_PROGRESS, ATTEMPT = RunState.IN_PROGRESS.value, RunState.ATTEMPT_NOT_RUN.value


@dataclass(frozen=True)
class FaultCase:
    """A fault, the expected outcome of the retry, and the expected number of runs in total."""

    name: str
    fault: Fault
    retry_outcome: str
    runs: int


async def _start_held(cluster: Cluster, gate, key: str) -> "asyncio.Task":
    """Start a commit through the first entry and wait until it is blocked at `gate`."""
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
    """Kill the first router when its call reaches `step`; the entry uses the second one."""

    async def inject(cluster: Cluster, key: str) -> None:
        gate = cluster.routers[0].platform.gates.hold(step)
        task = await _start_held(cluster, gate, key)
        cluster.routers[0].kill()
        await task
        await cluster.entries[0].wait_settled()

    return inject


def kill_shard_owner_at_settle(step: str) -> Fault:
    """Kill the first router at `step` while it records the outcome."""

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
    """Pause the first router at `step` until the second has done all the work, then resume it."""

    async def inject(cluster: Cluster, key: str) -> None:
        gate = cluster.routers[0].platform.gates.hold(step)
        cluster.entries[0].link.try_timeout_s = PAUSED_TRY_TIMEOUT_S
        task = await _start_held(cluster, gate, key)
        await task
        gate.open.set()
        await cluster.entries[0].wait_settled()

    return inject


def fail_target_owner(**faults: int) -> Fault:
    """Inject `faults` into the owner of the target."""

    async def inject(cluster: Cluster, key: str) -> None:
        for name, value in faults.items():
            setattr(cluster.entries[0].owner, name, value)
        await cluster.entries[0].send(key)
        await cluster.entries[0].wait_settled()

    return inject


async def raise_in_relay(cluster: Cluster, key: str) -> None:
    """Raise an exception in the relay after the request was sent."""
    cluster.entries[0].owner.raise_after = 1
    with suppress(ConnectionResetError):
        await cluster.entries[0].send(key)
    await cluster.entries[0].wait_settled()


def fail_store(at: str, **faults: int) -> Fault:
    """Inject `faults` into the store of all routers before the claim, or while the request runs."""

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


async def drop_claim_and_send_elsewhere(cluster: Cluster, key: str) -> None:
    """Drop the write of a claim, and send the key through another router during the run."""
    cluster.routers[0].platform.faults.drop_writes = 1
    cluster.entries[1].link.routers = cluster.routers[::-1]
    gate = cluster.entries[0].owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    await cluster.entries[1].send(key)
    gate.open.set()
    await task
    await cluster.entries[0].wait_settled()


async def stop_store_and_replace_fleet(cluster: Cluster, key: str) -> None:
    """Stop the store while the request runs, and replace the fleet before the store is back."""
    entry = cluster.entries[0]
    gate = entry.owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    for router in cluster.routers:
        router.platform.faults.down = True
    gate.open.set()
    await task
    cluster.replace_fleet()


async def abandon_claim_then_write_it(cluster: Cluster, key: str) -> None:
    """Abandon a claim whose write is blocked, and release the write after the withdrawal."""
    entry = cluster.entries[0]
    gates = [router.platform.gates.hold("write") for router in cluster.routers]
    entry.link.try_timeout_s = PAUSED_TRY_TIMEOUT_S
    await entry.send(key)
    for gate in gates:
        gate.open.set()
    await entry.wait_settled()


async def withdraw_claim_then_write_it(cluster: Cluster, key: str) -> None:
    """Withdraw a claim through another router while its write is blocked, then release it."""
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


async def send_same_key_through_two_entries(cluster: Cluster, key: str) -> None:
    """Send the key through both entries at once, each with another router first."""
    cluster.entries[1].link.routers = cluster.routers[::-1]
    await asyncio.gather(cluster.entries[0].send(key), cluster.entries[1].send(key))
    await asyncio.gather(*(entry.wait_settled() for entry in cluster.entries))


async def write_same_key_from_two_routers(cluster: Cluster, key: str) -> None:
    """Have two routers merge the same key into the same version before either writes."""
    cluster.entries[1].link.routers = cluster.routers[::-1]
    gates = [router.platform.gates.hold("write") for router in cluster.routers]
    tasks = [entry.start(key) for entry in cluster.entries]
    for gate in gates:
        await gate.reached.wait()
    for gate in gates:
        gate.open.set()
    await asyncio.gather(*tasks)
    await asyncio.gather(*(entry.wait_settled() for entry in cluster.entries))


async def replace_fleet_after_response(cluster: Cluster, key: str) -> None:
    """Run a commit to its end, then replace every entry and router."""
    await cluster.entries[0].send(key)
    await cluster.entries[0].wait_settled()
    cluster.replace_fleet()


async def replace_fleet_in_flight(cluster: Cluster, key: str) -> None:
    """Replace every entry and router while the request runs."""
    task = await _start_held(cluster, cluster.entries[0].owner.gates.hold("ran"), key)
    cluster.replace_fleet()
    task.cancel()
    await asyncio.wait({task})


async def disconnect_caller_while_running(cluster: Cluster, key: str) -> None:
    """Disconnect the caller while the request runs; its outcome is still recorded."""
    gate = cluster.entries[0].owner.gates.hold("ran")
    task = await _start_held(cluster, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await cluster.entries[0].wait_settled()


async def disconnect_caller_while_claiming(cluster: Cluster, key: str) -> None:
    """Disconnect the caller while its claim is being written; the claim is withdrawn."""
    gate = cluster.routers[0].platform.gates.hold("written")
    task = await _start_held(cluster, gate, key)
    task.cancel()
    await asyncio.wait({task})
    gate.open.set()
    await cluster.entries[0].wait_settled()


def pause_entry(part: str, step: str) -> Fault:
    """Pause the entry at `step` past its deadline, retry elsewhere, then resume it."""

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
    FaultCase("entry paused before its claim", pause_entry("link", "claim"), REPLAYED, 1),
    FaultCase("entry paused with its claim granted", pause_entry("link", "claimed"), OK, 1),
    FaultCase("entry paused with the request running", pause_entry("owner", "ran"), REPLAYED, 1),
]
FAULT_CASES = [
    FaultCase("entry killed before its claim is sent", kill_entry("link", "claim"), OK, 1),
    FaultCase("entry killed with its claim granted", kill_entry("link", "claimed"), IN_PROGRESS, 0),
    FaultCase(
        "entry killed before the request is sent", kill_entry("owner", "send"), IN_PROGRESS, 0
    ),
    FaultCase("entry killed with the request running", kill_entry("owner", "ran"), IN_PROGRESS, 1),
    FaultCase(
        "entry killed before the outcome is sent", kill_entry("link", "settle"), IN_PROGRESS, 1
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
    FaultCase("target owner refuses", fail_target_owner(refuse=2), OK, 1),
    FaultCase("first target owner refuses", fail_target_owner(refuse=1), REPLAYED, 1),
    FaultCase("target owner killed before it sends", fail_target_owner(break_before=1), UNKNOWN, 0),
    FaultCase("target owner killed after it sent", fail_target_owner(break_after=1), UNKNOWN, 1),
    FaultCase("relay raises after it sent", raise_in_relay, UNKNOWN, 1),
    FaultCase(
        "store's response to the claim lost", fail_store("claim", lose_responses=1), REPLAYED, 1
    ),
    FaultCase("store drops the claim's write", fail_store("claim", drop_writes=1), REPLAYED, 1),
    FaultCase(
        "store's response to the outcome lost",
        fail_store("running", lose_responses=1),
        REPLAYED,
        1,
    ),
    FaultCase("store drops the claim, retry elsewhere", drop_claim_and_send_elsewhere, REPLAYED, 1),
    FaultCase("store drops the outcome's write", fail_store("running", drop_writes=1), REPLAYED, 1),
    FaultCase("store down before the claim", fail_store("claim", down=True), OK, 1),
    FaultCase("store down while the request runs", fail_store("running", down=True), REPLAYED, 1),
    FaultCase(
        "store down, fleet killed before the outcome", stop_store_and_replace_fleet, IN_PROGRESS, 1
    ),
    FaultCase("claim abandoned, written later", abandon_claim_then_write_it, OK, 1),
    FaultCase("claim withdrawn, write attempted later", withdraw_claim_then_write_it, OK, 1),
    FaultCase("same key at two entries", send_same_key_through_two_entries, REPLAYED, 1),
    FaultCase("same key written by two routers", write_same_key_from_two_routers, REPLAYED, 1),
    FaultCase("fleet replaced after the response", replace_fleet_after_response, REPLAYED, 1),
    FaultCase("fleet replaced with the request running", replace_fleet_in_flight, IN_PROGRESS, 1),
    FaultCase(
        "caller leaves with the request running", disconnect_caller_while_running, REPLAYED, 1
    ),
    FaultCase("caller leaves while the claim is written", disconnect_caller_while_claiming, OK, 1),
    *PAUSE_CASES,
]


async def run_case(case: FaultCase) -> tuple[Cluster, str]:
    """Run `case` and a retry through the second entry; return the outcome of the retry."""
    async with Cluster() as cluster:
        key = str(uuid_utils.uuid7())
        await case.fault(cluster, key)
        retry = await cluster.entries[1].send(key)
        await cluster.entries[1].wait_settled()
    return cluster, retry.outcome
