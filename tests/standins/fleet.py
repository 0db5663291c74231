"""Run stand-ins, and entries and routers as real processes, for the demo and for tests.

A router's address must be in the platform's list before the process starts. Routers therefore get
ports from `free_port`, which nothing else uses. The ports of entries are assigned by the system.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from tests.standins.engine import Engine
from tests.standins.plain_service import PlainService, PlainState
from tests.standins.ports import free_port
from tests.standins.store import Store

CONFIG_OBJECT = "config/current"
STOP_TIMEOUT_S = 15.0
START_TIMEOUT_S = 20.0


def token_hash(token: str) -> str:
    """Return the hash of a team's token that the configuration holds."""
    return hashlib.sha256(token.encode()).hexdigest()


# Tests that wait for a condition send requests faster than the default rate limit of a team.
HIGH_RATE_LIMIT = {"requests_per_s": 10_000.0}

SAMPLE_CONFIG = {
    "teams": [
        {"name": "grid-desk", "token_sha256": token_hash("grid-desk-token"), **HIGH_RATE_LIMIT},
        {
            "name": "plant-crews",
            "token_sha256": token_hash("plant-crews-token"),
            "weight": 2.0,
            **HIGH_RATE_LIMIT,
        },
    ],
    "services": [
        {"name": "forecast-llm", "kind": "chat", "policy": {"cold_limit": 4}},
        {"name": "dispatch-app", "kind": "plain"},
    ],
    "zones": [
        {"name": "walvis-a", "region": "erongo"},
        {"name": "walvis-b", "region": "erongo"},
        {"name": "swakop-a", "region": "erongo"},
        {"name": "henties", "region": "erongo"},
    ],
    "targets": [],
}


@dataclass
class Process:
    """An entry or a router that runs as a process."""

    name: str
    proc: asyncio.subprocess.Process
    address: str

    def rss_bytes(self) -> int:
        """Return the resident memory of the process, in bytes."""
        with open(f"/proc/{self.proc.pid}/status") as status:
            line = next(line for line in status if line.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    async def stop(self) -> int:
        """Request a graceful shutdown and return the exit status."""
        with suppress(ProcessLookupError):
            self.proc.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.proc.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Kill the process immediately, as a failure of its host does."""
        with suppress(ProcessLookupError):
            self.proc.kill()
        await self.proc.wait()


async def start_program(
    module: str, args: Sequence[str], log_path: str | None = None
) -> tuple[asyncio.subprocess.Process, str]:
    """Start `python -m module args` and return the process and the address that it announces.

    Raise `RuntimeError` if it exits before that.
    """
    with open(log_path or os.devnull, "ab") as log:  # noqa: ASYNC230
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *args, stdout=asyncio.subprocess.PIPE, stderr=log
        )
    assert proc.stdout is not None
    line = await asyncio.wait_for(proc.stdout.readline(), START_TIMEOUT_S)
    if not line:
        raise RuntimeError(f"{module} exited during start-up with status {await proc.wait()}")
    return proc, line.decode().split()[-1]


async def run_program(module: str, args: Sequence[str]) -> str:
    """Run `python -m module args` and return its output.

    Raise `RuntimeError` if its exit status is not 0.
    """
    proc = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *args, stdout=asyncio.subprocess.PIPE
    )
    printed, _ = await asyncio.wait_for(proc.communicate(), STOP_TIMEOUT_S)
    if proc.returncode != 0:
        raise RuntimeError(f"{module} exited with status {proc.returncode}")
    return printed.decode()


@dataclass
class HostProcesses:
    """The entry and router of one host."""

    name: str
    zone: str
    router: Process
    entry: Process


@dataclass
class Fleet:
    """Stand-ins and hosts. As an asynchronous context manager, it stops all of them at the end."""

    log_dir: str | None = None
    store: Store = field(default_factory=Store)
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, PlainService] = field(default_factory=dict)
    commits: PlainState = field(default_factory=PlainState)
    hosts: dict[str, HostProcesses] = field(default_factory=dict)
    entry_args: tuple[str, ...] = ("--balancer-lag-s", "0")
    router_args: tuple[str, ...] = ()

    async def __aenter__(self) -> "Fleet":
        self.store.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        processes = [
            process for host in self.hosts.values() for process in (host.entry, host.router)
        ]
        await asyncio.gather(*(process.kill() for process in processes))
        for standin in (*self.engines.values(), *self.services.values(), self.store):
            await standin.stop()

    def configure(self, config: dict) -> int:
        """Store a configuration and return its version."""
        return self.store.state.put(CONFIG_OBJECT, json.dumps(config).encode())

    def add_engine(
        self,
        name: str,
        zone: str,
        service: str = "forecast-llm",
        age_s: float = 60.0,
        **settings: float,
    ) -> Engine:
        """Start an engine and add it to the platform's list.

        It behaves as if it had run for `age_s` seconds.
        """
        engine = Engine(name, age_s, **settings)
        engine.start()
        self.engines[name] = engine
        self._add_to_list(name, service, zone, engine.address)
        return engine

    def add_service(self, name: str, zone: str, service: str = "dispatch-app") -> PlainService:
        """Start a replica of the plain service and add it to the platform's list."""
        replica = PlainService(self.commits)
        replica.start()
        self.services[name] = replica
        self._add_to_list(name, service, zone, replica.address)
        return replica

    def _add_to_list(self, name: str, service: str, zone: str, address: str) -> None:
        entry = {"role": "target", "name": name, "service": service, "zone": zone}
        self.store.state.host_list.append({**entry, "address": address})

    def remove_from_list(self, name: str) -> None:
        """Remove a host or target from the platform's list."""
        kept = [entry for entry in self.store.state.host_list if entry["name"] != name]
        self.store.state.host_list[:] = kept

    async def add_hosts(self, zones: dict[str, str]) -> None:
        """Start an entry and a router for each host; `zones` is keyed by host name."""
        addresses = {name: f"127.0.0.1:{free_port()}" for name in zones}
        for name, zone in zones.items():
            entry = {"role": "router", "name": name, "zone": zone, "address": addresses[name]}
            self.store.state.host_list.append(entry)
        started = await asyncio.gather(
            *(self._start_host(name, zone, addresses) for name, zone in zones.items())
        )
        self.hosts.update({host.name: host for host in started})

    async def _start_host(self, name: str, zone: str, addresses: dict[str, str]) -> HostProcesses:
        router = await self.start_router(name, zone, addresses[name])
        others = [address for other, address in addresses.items() if other != name]
        entry = await self.start_entry(name, zone, [addresses[name], *others])
        return HostProcesses(name, zone, router, entry)

    async def start_router(self, name: str, zone: str, address: str) -> Process:
        """Start a router process."""
        args = ["--host", name, "--zone", zone, "--listen", address, "--platform", self.store.url]
        module = "almondspindle.programs.router"
        proc, listen_address = await start_program(
            module, [*args, *self.router_args], self._log_path(f"router-{name}")
        )
        return Process(f"router-{name}", proc, listen_address)

    async def start_entry(self, name: str, zone: str, routers: list[str]) -> Process:
        """Start an entry process on a port that the system assigns."""
        args = ["--host", name, "--zone", zone, "--listen", "127.0.0.1:0"]
        args += ["--routers", json.dumps(routers), *self.entry_args]
        module = "almondspindle.programs.entry"
        proc, listen_address = await start_program(module, args, self._log_path(f"entry-{name}"))
        return Process(f"entry-{name}", proc, listen_address)

    def _log_path(self, name: str) -> str | None:
        return f"{self.log_dir}/{name}.log" if self.log_dir else None
