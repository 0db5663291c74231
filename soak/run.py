"""One run of the soak test: start hosts and callers, inject faults, check the guarantees."""

import asyncio
import random
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGTERM

from soak.callers import HTTP_OK, CallerTask, poll_versions, send_probe
from soak.environment import SoakEnvironment
from soak.faults import (
    ALL_ACTIONS,
    CHANGES,
    EXCLUSIVE,
    UNPLANNED,
    Fault,
    FaultContext,
    draw_access,
    draw_announcements,
    draw_changes,
    draw_faults,
    draw_orders,
    draw_restores,
    impaired_hosts,
    impaired_replicas,
)
from soak.history import RunHistory
from soak.hosts import SoakHost, shared_ports
from soak.layout import ONE_ZONE, Layout
from soak.proxy import Proxy
from soak.timed_rules import Span

START_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0  # the platform's limit, counted from the end of a fault of all hosts
STREAM_END_WAIT_S = 4.0  # time for open streams to end after the last fault


@dataclass(frozen=True, slots=True)
class RunResult:
    """The violations found in a run, and its counts of requests and faults.

    `checked` has the requests that each timed rule was applied to.
    """

    seed: int
    requests: int
    served: int
    faults: int
    violations: list[str]
    checked: Counter[str]


class SoakRun:
    """A run with one seed. Its times are seconds since its start."""

    def __init__(self, seed: int, duration_s: float, logs: Path, layout: Layout = ONE_ZONE) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._logs = logs
        self._layout = layout
        self._rng = random.Random(seed)
        self._history = RunHistory(cold_per_s=layout.cold_per_s)
        self._environment = SoakEnvironment(
            layout, self._history, random.Random(seed + 1), self._now
        )
        self._hosts: list[SoakHost] = []
        self._started_at = time.monotonic()
        self._exclusive_lock = asyncio.Lock()

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    async def execute(self) -> RunResult:
        """Execute the run and return its result."""
        faults = draw_faults(self._rng, self._duration_s)
        announcements = draw_announcements(random.Random(f"{self._seed} told"), self._duration_s)
        orders = draw_orders(random.Random(f"{self._seed} ordered"), self._duration_s)
        restores = draw_restores(random.Random(f"{self._seed} restored"), self._duration_s)
        schedules = [faults, announcements, orders, restores]
        if len(self._layout.zone_names) > 1:
            schedules += [
                draw_access(random.Random(f"{self._seed} access"), self._duration_s),
                draw_changes(random.Random(f"{self._seed} changed"), self._duration_s),
            ]
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._environment)
            ports = shared_ports()
            for number, zone in enumerate(self._layout.zones):
                store_proxy = await stack.enter_async_context(
                    Proxy(self._environment.store.address)
                )
                self._hosts.append(SoakHost(number, zone, ports, store_proxy, self._logs))
            stack.push_async_callback(self._stop_hosts)
            first = self._hosts[:-1] if self._layout.last_joins else self._hosts
            await asyncio.gather(*(host.start() for host in first))
            await self._wait_all_serve(first, START_TIMEOUT_S, "after the start")
            self._history.fleet.hosts += [
                (str(host.number), Span(0.0, self._now())) for host in self._hosts
            ]
            await self._run_load(*schedules)
            await self._wait_all_serve(self._hosts, RECOVERY_TIMEOUT_S, "after the last fault")
        for host in self._hosts:
            self._history.findings += host.unexpected_exits
        served = sum(
            each.status == HTTP_OK and each.is_complete for each in self._history.responses
        )
        return RunResult(
            self._seed,
            len(self._history.responses),
            served,
            len(faults) + len(announcements),
            self._history.violations(),
            self._history.checked,
        )

    async def _run_load(self, *schedules: list[Fault]) -> None:
        callers = [
            CallerTask(
                f"c{host.number}-{number}",
                host,
                self._history,
                random.Random(self._rng.random()),
                self._now,
            )
            for host in self._hosts
            for number in range(self._layout.callers_per_host)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        background = [
            asyncio.create_task(
                poll_versions(host, lambda: self._environment.version, self._history, self._now)
            )
            for host in self._hosts
        ]
        if len(self._layout.zone_names) > 1:
            background.append(asyncio.create_task(self._environment.renew_entries()))
        await asyncio.gather(*(self._inject_all(faults) for faults in schedules))
        await asyncio.sleep(STREAM_END_WAIT_S)
        for caller in callers:
            caller.stop.set()
        await asyncio.gather(*tasks)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    async def _inject_all(self, faults: list[Fault]) -> None:
        context = FaultContext(self._hosts, self._environment)
        tasks = []
        for fault in faults:
            await asyncio.sleep(fault.delay_s)
            for host in self._hosts:
                host.check_process()
            injected = asyncio.create_task(self._inject(context, fault))
            tasks.append(injected)
            if fault.kind in CHANGES:
                await injected
        await asyncio.gather(*tasks)

    async def _inject(self, context: FaultContext, fault: Fault) -> None:
        if fault.kind not in EXCLUSIVE:
            await self._inject_recorded(context, fault)
            return
        async with self._exclusive_lock:
            await self._inject_recorded(context, fault)

    async def _inject_recorded(self, context: FaultContext, fault: Fault) -> None:
        started_at = self._now()
        await ALL_ACTIONS[fault.kind](context, fault)
        span, fleet = Span(started_at, self._now()), self._history.fleet
        fleet.hosts += [(str(host.number), span) for host in impaired_hosts(context, fault)]
        fleet.replicas += [(name, span) for name in impaired_replicas(context, fault)]
        if fault.kind == "store refuses":
            fleet.store.append(span)
        if fault.kind in EXCLUSIVE:
            self._history.host_events.append((started_at, self._now()))
        if fault.kind in UNPLANNED:
            self._history.disturbances.append((started_at, self._now()))

    async def _wait_all_serve(self, hosts: list[SoakHost], timeout_s: float, when: str) -> None:
        for host in hosts:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wait_serves(host)
            except TimeoutError:
                self._history.findings.append(
                    f"RECOVER: host {host.number} did not serve a request {when}"
                )

    async def _wait_serves(self, host: SoakHost) -> None:
        version, count = self._environment.version, 0
        while True:
            count += 1
            request_id = f"w{host.number}-{version}-{host.lifetime}-{count}"
            if await send_probe(host, version, request_id, self._history, self._now()) == HTTP_OK:
                return
            await asyncio.sleep(0.05)

    async def _stop_hosts(self) -> None:
        for host in self._hosts:
            host.send_signal(SIGCONT)
        await asyncio.gather(*(host.stop(SIGTERM) for host in self._hosts))
