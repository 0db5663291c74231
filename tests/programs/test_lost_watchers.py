"""Tests for hosts that don't watch the store, while those that do are lost or cut off from it."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from almondspindle.core.inventory import Topic
from almondspindle.decisions.hashing import score
from almondspindle.decisions.topic_watchers import WATCH_SLOT_S, WATCHERS_PER_TOPIC
from almondspindle.platform.objects import OBJECT_KINDS
from tests.standins import replica as r
from tests.standins.black_hole import BlackHole
from tests.standins.node_fleet import (
    PLAIN_SERVICE,
    ROUTES,
    Host,
    encode_request,
    manifest,
    replica_record,
    running_host,
    running_store,
    wait_until,
)
from tests.standins.object_store import ObjectStore

BOUND_S = 2.0  # the time in which a manifest is in force, and a leaving target gets nothing more
TOPICS = (Topic.ROUTES, Topic.TARGETS)
KEPT = 2
QUIET_S = 6.0


def numbers_of_hosts() -> tuple[list[int], list[int]]:
    """Return the numbers of hosts that watch both topics, and of two that watch neither."""
    scores = {n: [score(topic, f"edge-{n}") for topic in TOPICS] for n in range(100)}
    kept = sorted(scores, key=lambda n: max(scores[n]))[:KEPT]
    count = max(WATCHERS_PER_TOPIC[topic] for topic in TOPICS)
    return sorted(scores, key=lambda n: min(scores[n]))[-count:], kept


async def start(stack: AsyncExitStack, address: str, numbers: list[int]) -> list[Host]:
    hosts = [await stack.enter_async_context(running_host(address, n)) for n in numbers]
    for host in hosts:
        await wait_until(host.is_ready)
    return hosts


async def settle(store: ObjectStore, count: int) -> None:
    """Wait until all hosts know each other, and no host but the watchers asks the store."""
    await wait_until(lambda: len(store.objects.get(OBJECT_KINDS[Topic.HOSTS], {})) == count)
    await asyncio.sleep(BOUND_S)


@pytest.mark.parametrize("loss", ["killed", "cut off"])
def test_changes_are_in_force_in_time_when_all_watchers_are_lost_at_once(loss):
    """Guards against waiting for the reports of lost watchers to get old (DRAIN, CONFIG)."""

    async def check() -> None:
        async with AsyncExitStack() as stack:
            store, groups = await stack.enter_async_context(
                running_store(plain=r.complete_response)
            )
            link = await stack.enter_async_context(BlackHole(store.address))
            watchers, others = numbers_of_hosts()
            lost = await start(stack, link.address, watchers)
            kept = await start(stack, store.address, others)
            await settle(store, len(watchers) + len(others))
            if loss == "killed":
                await asyncio.gather(*(host.node.close() for host in lost))
            else:
                link.cut()
            leaving = replica_record(groups[PLAIN_SERVICE][0], PLAIN_SERVICE, state="draining")
            await store.put("servers", "plain-0", leaving)
            await store.put("config", "main", manifest(9, routes=ROUTES[2:3]))

            async def is_in_force(host: Host) -> bool:
                read = await host.send(encode_request("/read/", b"x"))
                before = len(groups[PLAIN_SERVICE][0].requests)
                commit = await host.send(encode_request("/commit/", b"x"))
                is_left = len(groups[PLAIN_SERVICE][0].requests) == before
                return (read.status, commit.status) == (404, 200) and is_left

            async with asyncio.timeout(BOUND_S):
                for host in kept:
                    await wait_until(lambda host=host: is_in_force(host))

    asyncio.run(check())


def test_hosts_that_do_not_watch_ask_nothing_while_watchers_live():
    async def check() -> None:
        async with AsyncExitStack() as stack:
            store, _ = await stack.enter_async_context(running_store(plain=r.complete_response))
            watchers, others = numbers_of_hosts()
            await start(stack, store.address, [*watchers, *others])
            await settle(store, len(watchers) + len(others))
            store.calls.clear()
            await asyncio.sleep(QUIET_S)
            for topic in TOPICS:
                path = f"/-/objects/{OBJECT_KINDS[topic]}"
                calls = sum(path in call for call in store.calls)
                assert calls <= QUIET_S / WATCH_SLOT_S[topic] + 1

    asyncio.run(check())
