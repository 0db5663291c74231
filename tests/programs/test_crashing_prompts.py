"""Prompts that crash targets: what a host logs and counts of a crash."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from tests.standins import replica as r
from tests.standins.crashing_replica import CrashingReplica
from tests.standins.node_fleet import (
    MODEL_SERVICE,
    encode_request,
    replica_record,
    running_host,
    running_store,
    wait_until,
)

FATAL_PART = "dead"


def prompt_request(number: int, *parts: str, path: str = "/stream/") -> bytes:
    """Return a request whose prompt has `parts`, and a last part of its own."""
    prefix = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
    return encode_request(path, b"x", f"r-{number}", X_Prompt_Prefix=prefix, X_Token_Count="300,9")


@pytest.fixture
def log_lines():
    """Collect the log lines that are written during the test."""
    lines: list[dict] = []
    add_destinations(lines.append)
    yield lines
    remove_destination(lines.append)


def test_the_log_tells_a_crash_and_the_parts_of_its_prompt(log_lines):
    async def check() -> None:
        async with (
            running_store() as (store, _),
            CrashingReplica(r.stream, FATAL_PART) as replica,
            running_host(store.address) as host,
        ):
            await store.put("servers", "model-0", replica_record(replica, MODEL_SERVICE))
            await wait_until(host.is_ready)
            response = await host.send(prompt_request(1, "first", FATAL_PART))
            assert response.status == 502
            metrics = await host.get(host.metrics_address, "/metrics")
            assert b"almondspindle_crashes_total 1\n" in metrics.body

    asyncio.run(check())
    ended = [line for line in log_lines if line.get("event") == "attempt_ended"]
    assert [(line["target_is_down"], line["wrote_body"], line["parts"]) for line in ended] == [
        (True, False, ("first", FATAL_PART))
    ]
