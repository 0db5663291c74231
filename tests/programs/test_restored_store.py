"""Tests for hosts whose store comes back from an older copy."""

from contextlib import AsyncExitStack

from tests.programs.test_node_store import CONFIG_BOUND_S, notice_outage, run, status
from tests.standins import replica as r
from tests.standins.node_fleet import (
    PLAIN_SERVICE,
    ROUTES,
    encode_request,
    manifest,
    replica_record,
    running_host,
    running_store,
    wait_until,
)


def test_changes_are_applied_after_the_store_came_back_from_an_older_copy():
    """Guards against waiting for the revision that the store had before it was restored."""

    async def check() -> None:
        async with AsyncExitStack() as stack:
            store, groups = await stack.enter_async_context(
                running_store(plain=r.complete_response, zones=("a", "b"))
            )
            store.era = 1
            hosts = [
                await stack.enter_async_context(running_host(store.address, number))
                for number in (1, 2)
            ]
            for host in hosts:
                await wait_until(host.is_ready)
            copy = store.copy()
            for version in range(2, 9):
                await store.put("config", "main", manifest(version, routes=ROUTES[1:]))

            async def is_read() -> bool:
                stream = encode_request("/stream/", b"x")
                return [await status(host, stream) for host in hosts] == [404, 404]

            await wait_until(is_read)
            await store.fail_calls(503)
            await notice_outage(store)
            store.restore(copy)
            store.error_status = 0
            await store.put("config", "main", manifest(8, routes=ROUTES[1:]))
            leaving = replica_record(groups["plain"][0], PLAIN_SERVICE, state="draining")
            await store.put("servers", "plain-0", leaving)
            await store.put("config", "main", manifest(9, routes=ROUTES[2:3]))

            async def is_applied() -> bool:
                reads = [await status(host, encode_request("/read/", b"x")) for host in hosts]
                before = len(groups["plain"][0].requests)
                commits = [await status(host) for host in hosts]
                is_left = len(groups["plain"][0].requests) == before
                return reads == [404, 404] and commits == [200, 200] and is_left

            await wait_until(is_applied, timeout_s=CONFIG_BOUND_S)

    run(check)
