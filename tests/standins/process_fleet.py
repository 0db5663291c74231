"""Run hosts as real processes, in several availability zones, with callers at each of them."""

import asyncio
import time
from collections.abc import AsyncIterator, Collection
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGKILL

from soak.hosts import SoakHost, shared_ports
from soak.proxy import Proxy
from tests.standins import replica as r
from tests.standins.node_fleet import (
    PLAIN_SERVICE,
    Response,
    encode_request,
    manifest,
    read_response,
    replica_record,
    wait_until,
)
from tests.standins.object_store import ObjectStore
from tests.standins.replica import ReceivedRequest, Replica, ScriptedResponse

HTTP_OK = 200
CALL_INTERVAL_S = 0.02
ROUTE = {"name": "commit", "host": "h.example", "prefix": "/commit/", "kind": "unsafe",
         "timeout_ms": 4000, "latency_target_ms": 125, "service": PLAIN_SERVICE,
         "attempts": 2}  # fmt: skip


@dataclass(frozen=True)
class Arrival:
    """A request that reached a replica at `at`, in seconds on the monotonic clock."""

    at: float
    host: int
    replica: str
    tenant: str


@dataclass
class ProcessFleet:
    """Hosts, their store, and the replicas of one service by the names of their entries."""

    store: ObjectStore
    logs: Path
    hosts: list[SoakHost] = field(default_factory=list)
    replicas: dict[str, Replica] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)

    async def add_replica(
        self, stack: AsyncExitStack, name: str, zone: str, **spec: object
    ) -> None:
        """Start a replica and write its entry."""

        def respond(request: ReceivedRequest) -> ScriptedResponse:
            if request.headers.get("x-expect-instance") != name:
                return r.misdirected(request)
            host = int(request.request_id.partition("-")[0])
            tenant = request.headers.get("x-tenant", "")
            self.arrivals.append(Arrival(time.monotonic(), host, name, tenant))
            return r.complete_response(request)

        self.replicas[name] = await stack.enter_async_context(Replica(respond))
        await self.register(name, zone=zone, **spec)

    async def register(self, name: str, **changes: object) -> None:
        """Write the entry of a replica."""
        spec = replica_record(self.replicas[name], PLAIN_SERVICE, slots=48, **changes)
        await self.store.put("servers", name, spec)

    async def send(
        self, host: SoakHost, number: int, path: str = "/commit/", **headers
    ) -> Response:
        """Send a request to a host as a caller. A host that is down responds with status 0."""
        try:
            reader, writer = await asyncio.open_connection(*host.listen_address)
            writer.write(encode_request(path, b"x", f"{host.number}-{number}", **headers))
            response = await read_response(reader)
            writer.close()
        except OSError:
            return Response()
        return response

    async def call(self, host: SoakHost) -> None:
        """Send requests to a host, one after the other, until cancelled."""
        number = 0
        while True:
            number += 1
            await self.send(host, number)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def restart(self, hosts: Collection[SoakHost]) -> None:
        """Kill hosts at the same moment, and start them again."""
        await asyncio.gather(*(host.restart(SIGKILL) for host in hosts))

    async def wait_serving(self, hosts: Collection[SoakHost]) -> None:
        """Wait until each of `hosts` serves a request."""
        for host in hosts:

            async def serves(host: SoakHost = host) -> bool:
                return (await self.send(host, 0)).status == HTTP_OK

            await wait_until(serves)


@asynccontextmanager
async def running_fleet(zones: str, logs: Path, replicas: int = 4) -> AsyncIterator[ProcessFleet]:
    """Run a host for each letter of `zones`, and replicas in these zones in turn.

    The store states eras. The hosts reach it through proxies of their own.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(ObjectStore(era=1))
        fleet = ProcessFleet(store, logs)
        await store.put("config", "main", manifest(routes=[ROUTE]))
        for number in range(replicas):
            zone = sorted(set(zones))[number % len(set(zones))]
            await fleet.add_replica(stack, f"plain-{number}", zone)
        ports = shared_ports()
        for number, zone in enumerate(zones):
            proxy = await stack.enter_async_context(Proxy(store.address))
            fleet.hosts.append(SoakHost(number, zone, ports, proxy, logs))

        async def stop() -> None:
            await asyncio.gather(*(host.stop(SIGKILL) for host in fleet.hosts))

        stack.push_async_callback(stop)
        await asyncio.gather(*(host.start() for host in fleet.hosts))
        await fleet.wait_serving(fleet.hosts)
        yield fleet
