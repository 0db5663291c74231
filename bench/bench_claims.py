"""What claims cost the store and the caller, and whether any fault doubles a commit.

The store is a stand-in in memory that answers a call after `STORE_LATENCY_S` and does
`STORE_WRITES_PER_S` writes a second, one after the other. Arrivals are drawn with a fixed seed.
Each commit is claimed, and settled with a small answer `RUN_S` later. The naive version keeps an
object per key and writes it by itself: once for the claim and once for the outcome.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import perf_counter

import uuid_utils

from almondspindle.adapters.platform.base import ABSENT_VERSION
from almondspindle.adapters.platform.claim_codec import encode_part
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimRequest,
    CommitAttempt,
    CommitOutcome,
    KeyScope,
    RecordedResponse,
    SettleRequest,
)
from almondspindle.decisions.claims import ClaimOperation, PartRecords, merge
from bench.output import figure, percentile
from tests.standins.claim_faults import FAULT_CASES, run_case
from tests.standins.claims_cluster import Router
from tests.standins.gated_platform import GatedPlatform

RATES = (50, 200, 500)  # claims/s
DURATION_S = 6.0
STORE_LATENCY_S = 0.004
STORE_WRITES_PER_S = 400
RUN_S = 0.02
SEED = 7
MS_PER_S = 1000.0
ANSWER = RecordedResponse(200, "dispatch-0", (("Content-Type", "application/json"),), b"x" * 100)  # type: ignore[arg-type]

Decide = Callable[[ClaimOperation], Awaitable[object]]


@dataclass
class PacedPlatform(GatedPlatform):
    """A store with a bound on its writes a second. Counts the bytes written."""

    delay_s: float = STORE_LATENCY_S
    bytes_written: int = 0
    free_at: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)

    async def write(self, name: str, value: bytes, expected: int):  # type: ignore[no-untyped-def]
        """Wait for the write's turn, then write."""
        now = perf_counter()
        self.free_at = max(now, self.free_at) + 1.0 / STORE_WRITES_PER_S
        self.bytes_written += len(value)
        await asyncio.sleep(self.free_at - now)
        return await super().write(name, value, expected)


def batched(platform: PacedPlatform) -> Decide:
    """Return the decisions of a router's claims controller."""
    router = Router(platform)
    router.start()
    return router.methods.decide


def one_by_one(platform: PacedPlatform) -> Decide:
    """Return the naive version: each change is a write of its key's own object."""
    parts: dict[str, PartRecords] = {}

    async def decide(change: ClaimOperation) -> object:
        key = change.scope.key
        merged = merge(parts.get(key, PartRecords()), [change], 0.0)
        parts[key] = merged.part
        version = platform.versions.get(key, ABSENT_VERSION)
        platform.versions[key] = version + 1
        await platform.write(key, encode_part(merged.part), version)
        return merged.replies[0]

    return decide


async def commit(decide: Decide, waits: list[float]) -> None:
    """Claim one key, run for `RUN_S`, and settle; note how long the claim took."""
    scope = KeyScope("grid-desk", "dispatch-app", str(uuid_utils.uuid7()))  # type: ignore[arg-type]
    attempt = CommitAttempt(scope, b"f" * 16, "n" * 24, "entry-1")  # type: ignore[arg-type]
    start = perf_counter()
    reply = await decide(ClaimRequest(attempt, 5000.0))
    waits.append(perf_counter() - start)
    if reply.decision is ClaimDecision.GRANTED:  # type: ignore[attr-defined]
        await asyncio.sleep(RUN_S)
        await decide(SettleRequest(attempt, CommitOutcome.ANSWERED, ANSWER))


async def load(make: Callable[[PacedPlatform], Decide], rate: int, name: str) -> None:
    """Offer `rate` commits a second and print what came of it."""
    rng = random.Random(SEED)
    platform = PacedPlatform()
    decide, waits, tasks = make(platform), [], []
    start = perf_counter()
    at = 0.0
    while at < DURATION_S:
        at += rng.expovariate(rate)
        await asyncio.sleep(start + at - perf_counter())
        tasks.append(asyncio.ensure_future(commit(decide, waits)))
    await asyncio.gather(*tasks)
    took_s = perf_counter() - start
    figure(f"{name}claims_per_store_write_{rate}", len(waits) / platform.calls["write"], "claims")
    figure(f"{name}claim_store_writes_{rate}", platform.calls["write"] / took_s, "writes/s")
    figure(f"{name}claim_store_reads_{rate}", platform.calls["read"] / took_s, "reads/s")
    figure(f"{name}claim_store_kb_{rate}", platform.bytes_written / took_s / 1024, "KB/s")
    figure(f"{name}claim_added_ms_p50_{rate}", percentile(waits, 0.5) * MS_PER_S, "ms")
    figure(f"{name}claim_added_ms_p95_{rate}", percentile(waits, 0.95) * MS_PER_S, "ms")


async def faults() -> None:
    """Run the fault table, all rows side by side, and print what must be 0."""
    results = await asyncio.gather(*(run_case(row) for row in FAULT_CASES))
    figure("claim_fault_cases", len(results), "cases")
    figure("commit_doubled", sum(world.duplicated_key_count for world, _ in results), "commits")
    figure("false_not_run", sum(world.false_not_run_count for world, _ in results), "answers")


def run() -> None:
    """Print the figures over the fault table and at each rate, batched and naive."""
    asyncio.run(faults())
    for rate in RATES:
        asyncio.run(load(batched, rate, ""))
        asyncio.run(load(one_by_one, rate, "naive_"))
