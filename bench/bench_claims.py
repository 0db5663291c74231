"""The load of claims on the store, the latency they add, and commits that a fault duplicates.

The store is an in-memory stand-in that responds after `STORE_LATENCY_S` and makes at most
`STORE_WRITES_PER_S` writes a second, one after the other. Arrivals are random with a fixed seed.
Each commit is claimed, and settled with a small response `RUN_S` later. The naive version has one
object per key and writes it twice: once for the claim and once for the outcome.
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
    SettleRequest,
)
from almondspindle.core.recorded_responses import RecordedResponse
from almondspindle.decisions.claims import ClaimOperation, PartRecords, merge
from bench.output import percentile, print_figure
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
RESPONSE = RecordedResponse(200, "dispatch-0", (("Content-Type", "application/json"),), b"x" * 100)  # type: ignore[arg-type]

DecideFunction = Callable[[ClaimOperation], Awaitable[object]]


@dataclass
class RateLimitedPlatform(GatedPlatform):
    """A store with a limited rate of writes. It counts the bytes written."""

    delay_s: float = STORE_LATENCY_S
    bytes_written: int = 0
    next_write_at: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)

    async def write(self, name: str, value: bytes, expected: int):  # type: ignore[no-untyped-def]
        """Wait until the limit on the rate allows the write, then write."""
        now = perf_counter()
        self.next_write_at = max(now, self.next_write_at) + 1.0 / STORE_WRITES_PER_S
        self.bytes_written += len(value)
        await asyncio.sleep(self.next_write_at - now)
        return await super().write(name, value, expected)


def batched(platform: RateLimitedPlatform) -> DecideFunction:
    """Return the decision function of a router, which batches claims into writes."""
    router = Router(platform)
    router.start()
    return router.methods.decide


def unbatched(platform: RateLimitedPlatform) -> DecideFunction:
    """Return the naive decision function: each operation writes the object of its key."""
    parts: dict[str, PartRecords] = {}

    async def decide(operation: ClaimOperation) -> object:
        key = operation.scope.key
        merged = merge(parts.get(key, PartRecords()), [operation], 0.0)
        parts[key] = merged.part
        version = platform.versions.get(key, ABSENT_VERSION)
        platform.versions[key] = version + 1
        await platform.write(key, encode_part(merged.part), version)
        return merged.replies[0]

    return decide


async def commit(decide: DecideFunction, waits: list[float]) -> None:
    """Claim one key, run for `RUN_S` and settle; append the duration of the claim to `waits`."""
    scope = KeyScope("grid-desk", "dispatch-app", str(uuid_utils.uuid7()))  # type: ignore[arg-type]
    attempt = CommitAttempt(scope, b"f" * 16, "n" * 24, "entry-1")  # type: ignore[arg-type]
    start = perf_counter()
    reply = await decide(ClaimRequest(attempt, 5000.0))
    waits.append(perf_counter() - start)
    if reply.decision is ClaimDecision.GRANTED:  # type: ignore[attr-defined]
        await asyncio.sleep(RUN_S)
        await decide(SettleRequest(attempt, CommitOutcome.ANSWERED, RESPONSE))


async def measure_load(
    make_decide: Callable[[RateLimitedPlatform], DecideFunction], rate: int, prefix: str
) -> None:
    """Send `rate` commits a second and print the store calls and the latency of claims.

    `prefix` begins the names of the figures.
    """
    rng = random.Random(SEED)
    platform = RateLimitedPlatform()
    decide, waits, tasks = make_decide(platform), [], []
    start = perf_counter()
    at = 0.0
    while at < DURATION_S:
        at += rng.expovariate(rate)
        await asyncio.sleep(start + at - perf_counter())
        tasks.append(asyncio.ensure_future(commit(decide, waits)))
    await asyncio.gather(*tasks)
    took_s = perf_counter() - start
    print_figure(
        f"{prefix}claims_per_store_write_{rate}", len(waits) / platform.calls["write"], "claims"
    )
    print_figure(f"{prefix}claim_store_writes_{rate}", platform.calls["write"] / took_s, "writes/s")
    print_figure(f"{prefix}claim_store_reads_{rate}", platform.calls["read"] / took_s, "reads/s")
    print_figure(f"{prefix}claim_store_kb_{rate}", platform.bytes_written / took_s / 1024, "KB/s")
    print_figure(f"{prefix}claim_added_ms_p50_{rate}", percentile(waits, 0.5) * MS_PER_S, "ms")
    print_figure(f"{prefix}claim_added_ms_p95_{rate}", percentile(waits, 0.95) * MS_PER_S, "ms")


async def measure_faults() -> None:
    """Run all fault cases concurrently and print the counts of violations, which must be 0."""
    results = await asyncio.gather(*(run_case(case) for case in FAULT_CASES))
    print_figure("claim_fault_cases", len(results), "cases")
    print_figure(
        "commit_doubled", sum(cluster.duplicated_key_count for cluster, _ in results), "commits"
    )
    print_figure(
        "false_not_run", sum(cluster.false_not_run_count for cluster, _ in results), "answers"
    )


def run() -> None:
    """Print the figures of the fault cases and of each rate, batched and naive."""
    asyncio.run(measure_faults())
    for rate in RATES:
        asyncio.run(measure_load(batched, rate, ""))
        asyncio.run(measure_load(unbatched, rate, "naive_"))
