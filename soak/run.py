"""One run of the soak test: start hosts and callers, inject faults, check the guarantees."""

import asyncio
import random
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGTERM

from soak.callers import HTTP_OK, CallerTask, ask_probe, probe
from soak.environment import World
from soak.faults import ACTS, EXCLUSIVE, UNPLANNED, Fault, Scene, draw
from soak.history import Ledger
from soak.hosts import SoakHost, shared_ports
from soak.proxy import Proxy

HOSTS = 3
CALLERS_PER_HOST = 4
START_S = 20.0
RECOVER_S = 12.0  # the platform's limit, counted from the end of a fault of all hosts
SETTLE_S = 4.0  # time for open streams to end after the last fault


@dataclass(frozen=True, slots=True)
class Result:
    """The violations found in a run, and its counts of requests and faults."""

    seed: int
    requests: int
    served: int
    faults: int
    broken: list[str]


class Run:
    """A run with one seed. Its times are seconds since its start."""

    def __init__(self, seed: int, for_s: float, logs: Path) -> None:
        self._seed = seed
        self._for_s = for_s
        self._logs = logs
        self._rng = random.Random(seed)
        self._ledger = Ledger()
        self._world = World(self._ledger, random.Random(seed + 1))
        self._hosts: list[SoakHost] = []
        self._began = time.monotonic()
        self._exclusive = asyncio.Lock()

    def _now(self) -> float:
        return time.monotonic() - self._began

    async def play(self) -> Result:
        """Execute the run and return its result."""
        faults = draw(self._rng, self._for_s)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._world)
            ports = shared_ports()
            for number in range(HOSTS):
                store = await stack.enter_async_context(Proxy(self._world.store.address))
                self._hosts.append(SoakHost(number, ports, store, self._logs))
            stack.push_async_callback(self._end_hosts)
            await asyncio.gather(*(host.start() for host in self._hosts))
            await self._all_serve(START_S, "after the start")
            await self._load(faults)
            await self._all_serve(RECOVER_S, "after the last fault")
        for host in self._hosts:
            self._ledger.findings += host.unexpected
        served = sum(each.status == HTTP_OK and each.is_whole for each in self._ledger.got)
        return Result(self._seed, len(self._ledger.got), served, len(faults), self._ledger.broken())

    async def _load(self, faults: list[Fault]) -> None:
        callers = [
            CallerTask(
                f"c{host.number}-{number}",
                host,
                self._ledger,
                random.Random(self._rng.random()),
                self._now,
            )
            for host in self._hosts
            for number in range(CALLERS_PER_HOST)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        probes = [
            asyncio.create_task(probe(host, lambda: self._world.version, self._ledger))
            for host in self._hosts
        ]
        await self._strike(faults)
        await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.stop.set()
        await asyncio.gather(*tasks)
        for task in probes:
            task.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _strike(self, faults: list[Fault]) -> None:
        context = Scene(self._hosts, self._world)
        tasks = []
        for fault in faults:
            await asyncio.sleep(fault.after_s)
            for host in self._hosts:
                host.check()
            tasks.append(asyncio.create_task(self._act(context, fault)))
        await asyncio.gather(*tasks)

    async def _act(self, context: Scene, fault: Fault) -> None:
        if fault.kind not in EXCLUSIVE:
            await self._noted(context, fault)
            return
        async with self._exclusive:
            await self._noted(context, fault)

    async def _noted(self, context: Scene, fault: Fault) -> None:
        begin = self._now()
        await ACTS[fault.kind](context, fault)
        if fault.kind in UNPLANNED:
            self._ledger.disturbed.append((begin, self._now()))

    async def _all_serve(self, timeout_s: float, when: str) -> None:
        for host in self._hosts:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._serves(host)
            except TimeoutError:
                self._ledger.findings.append(
                    f"RECOVER: host {host.number} did not serve a request {when}"
                )

    async def _serves(self, host: SoakHost) -> None:
        version, count = self._world.version, 0
        while True:
            count += 1
            request_id = f"w{host.number}-{version}-{host.lifetime}-{count}"
            if await ask_probe(host, version, request_id, self._ledger) == HTTP_OK:
                return
            await asyncio.sleep(0.05)

    async def _end_hosts(self) -> None:
        for host in self._hosts:
            host.send(SIGCONT)
        await asyncio.gather(*(host.end(SIGTERM) for host in self._hosts))
