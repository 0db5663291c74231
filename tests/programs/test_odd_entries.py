"""Hosts whose store holds entries of another writer that can't be used."""

import asyncio
from contextlib import AsyncExitStack

from tests.programs.test_node_store import StoreProxy
from tests.standins import replica as r
from tests.standins.node_fleet import (
    PLAIN_SERVICE,
    ROUTES,
    encode_request,
    manifest,
    replica_record,
    running_host,
    running_platform,
    wait_until,
)
from tests.standins.object_store import ObjectStore
from tests.standins.odd_objects import (
    HOST,
    NAMELESS,
    ODD_HOSTS,
    ODD_NAMES,
    ODD_REPLICAS,
    REPLICA,
    stored,
)
from tests.standins.replica import Replica

HOSTS_KIND = "almondspindle-hosts"


async def add_odd_entries(store: ObjectStore, prefix: str) -> None:
    """Write entries of every kind that can't be used, under names that begin with `prefix`."""
    for kind, good, objects in (
        ("servers", REPLICA, ODD_REPLICAS),
        (HOSTS_KIND, HOST, ODD_HOSTS),
    ):
        for number, raw in enumerate(objects.values()):
            name = f"{prefix} & {number}"
            named = raw.replace(b'"name":"odd"', b'"name":"%b"' % name.encode())
            await store.put_bytes(kind, name, named)
        for name in filter(None, ODD_NAMES.values()):
            await store.put_bytes(kind, prefix + name, stored(good, prefix + name))
        for number, raw in enumerate(NAMELESS.values()):
            await store.put_bytes(kind, f"{prefix} & {number}a", raw)
    for kind in ("config", "evacuations"):
        for number, raw in enumerate(ODD_REPLICAS.values()):
            name = b'"name":"%b-%d"' % (prefix.encode(), number)
            await store.put_bytes(
                kind, f"{prefix}-{number}", raw.replace(b'"name":"odd"', name).replace(b'"a"', b"1")
            )


async def is_served(host, path: str, request_id: str = "r-1") -> bool:
    return (await host.send(encode_request(path, b"x", request_id))).status == 200


def test_odd_entries_end_no_host_and_later_changes_reach_it_and_its_peer():
    async def check() -> None:
        async with AsyncExitStack() as stack:
            store = await stack.enter_async_context(ObjectStore())
            proxy = await stack.enter_async_context(StoreProxy(store))
            old = await stack.enter_async_context(Replica(r.complete_response))
            new = await stack.enter_async_context(Replica(r.complete_response))
            await store.put("config", "main", manifest())
            await store.put("servers", "plain-0", replica_record(old, PLAIN_SERVICE))
            await add_odd_entries(store, "at-start")
            hosts = [
                await stack.enter_async_context(running_host(store.address, 1)),
                await stack.enter_async_context(running_host(proxy.address, 2)),
            ]
            for host in hosts:
                await wait_until(host.is_ready)
                await wait_until(lambda host=host: is_served(host, "/commit/"))
            await wait_until(lambda: {"edge-1", "edge-2"} <= store.objects[HOSTS_KIND].keys())
            await add_odd_entries(store, "later")
            await store.put("config", "main", manifest(2, routes=[*ROUTES, added_route("one")]))
            for host in hosts:
                await wait_until(lambda host=host: is_served(host, "/one/"))
            # From here on the second host learns of changes from its peer alone.
            proxy.is_disconnected = True
            await add_odd_entries(store, "from-a-peer")
            await store.put("servers", "plain-1", replica_record(new, PLAIN_SERVICE))
            await store.remove("servers", "plain-0")
            await store.put("config", "main", manifest(3, routes=[*ROUTES, added_route("two")]))
            for number, host in enumerate(hosts):
                await wait_until(lambda host=host: is_served(host, "/two/"))
                await wait_until(lambda host=host, n=number: uses_only(host, new, old, n))
            assert not any(host.task.done() for host in hosts)

    asyncio.run(check())


def added_route(name: str) -> dict[str, object]:
    return {**ROUTES[2], "name": name, "prefix": f"/{name}/"}


async def uses_only(host, new: Replica, old: Replica, number: int) -> bool:
    before = len(new.requests), len(old.requests)
    for attempt in range(4):
        res = await host.send(encode_request("/commit/", b"x", f"n-{number}-{attempt}"))
        assert res.status == 200, res
    return (len(new.requests), len(old.requests)) == (before[0] + 4, before[1])


def test_an_odd_entry_in_place_of_a_replica_takes_it_out_of_use():
    async def check() -> None:
        async with running_platform(plain=r.complete_response) as (store, host, groups):
            first, second = groups[PLAIN_SERVICE]
            for number, raw in enumerate(ODD_REPLICAS.values()):
                await store.put("servers", "plain-0", replica_record(first, PLAIN_SERVICE))
                await wait_until(lambda n=number: is_used(host, first, f"a-{n}"))
                named = raw.replace(b'"name":"odd"', b'"name":"plain-0"')
                await store.put_bytes("servers", "plain-0", named)
                await wait_until(lambda n=number: uses_only(host, second, first, n))

    asyncio.run(check())


async def is_used(host, replica: Replica, request_id: str) -> bool:
    before = len(replica.requests)
    for number in range(8):
        await is_served(host, "/commit/", f"{request_id}-{number}")
    return len(replica.requests) > before
