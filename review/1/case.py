"""Machines freeze one after the other while manifests change; the others must keep up."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.consumers import HOST, KEY, Channel  # noqa: E402
from lib.nodes import Fleet  # noqa: E402
from lib.record import EXIT_UNABLE, Record, has_trouble  # noqa: E402
from lib.replicas import Replica  # noqa: E402
from lib.store import Store  # noqa: E402

ZONES = {"kv-shah": 2, "kv-cyber": 3, "kv-puchong": 2, "kv-bangsar": 1}  # as in the site file
CONFIG_APPLY_S = 2.0  # `config_apply_ms`
STABLE_S = 3.0  # `stable_window_ms`
FREEZE_S = 2.8
STORM_S, STORM_GAP_S = 4.0, 0.33  # `config_storm`
ROUND_S = 5.0
PROBE_S = 0.05
FREEZES = "edge-kv-shah-2"
ROUNDS = 20


def manifest(version: int) -> dict:
    """Return a manifest. Each version adds a route, and no route is ever removed."""
    names = ["base", *(f"v{number}" for number in range(2, version + 1))]
    routes = [
        {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": "safe", "timeout_ms": 800,
         "latency_target_ms": 100, "priority": 2, "service": "jadual-desk", "attempts": 2}
        for name in names
    ]  # fmt: skip
    return {
        "version": version, "routes": routes,
        "services": [{"name": "jadual-desk", "max_conns": 110}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team-1", "api_keys": [KEY]}],
    }  # fmt: skip


class Run:
    """One run: the fleet, its environment, and what was seen."""

    def __init__(self) -> None:
        self.record = Record(FOLDER)
        self.store = Store()
        self.fleet = Fleet(ZONES)
        self.version = 1
        self.acked: list[tuple[float, int]] = []
        self.woken: dict[str, float] = {}  # when the last freeze of a machine ended
        self.frozen = ""
        self.broken: list[str] = []

    def change(self) -> None:
        """Write the next version of the manifest; the store's answer is the ack."""
        self.version += 1
        self.store.put("config", "main", manifest(self.version))
        self.acked.append((time.monotonic(), self.version))
        self.record.line(f"manifest {self.version} acked")

    def newest_due(self, now: float) -> tuple[float, int] | None:
        """Return the newest version that must be in force at `now`."""
        due = [(at, version) for at, version in self.acked if now > at + CONFIG_APPLY_S]
        return due[-1] if due else None

    def is_in_touch(self, name: str, now: float) -> bool:
        """Return whether a machine was calm for the whole `stable_window_ms`."""
        return name != self.frozen and now >= self.woken.get(name, 0.0) + STABLE_S

    async def probe(self, node) -> None:
        """Send requests for the newest route to a machine, one after the other."""
        channel = Channel(node.name, node.front)
        while True:
            await asyncio.sleep(PROBE_S)
            due = self.newest_due(time.monotonic())
            if due is None or not self.is_in_touch(node.name, time.monotonic()):
                channel.close()
                continue
            answer = await channel.ask(f"/v{due[1]}/x", 1500, method="GET")
            self.record.line(f"{node.name} v{due[1]} {answer.status} {answer.id}", answer.sent_at)
            if answer.status in (401, 403, 404) and self.is_in_touch(node.name, answer.ended_at):
                late_s = answer.sent_at - due[0]
                self.broken.append(
                    f"request {answer.id} at {node.name} got {answer.status} on the route of"
                    f" manifest {due[1]}, sent {late_s:.3f} s after its ack"
                )

    async def storm(self, end: float) -> None:
        while time.monotonic() < end:
            self.change()
            await asyncio.sleep(STORM_GAP_S)

    async def play(self) -> None:
        rng = random.Random()
        node = next(node for node in self.fleet.nodes if node.name == FREEZES)
        for _ in range(ROUNDS):
            start = time.monotonic()
            storm = asyncio.create_task(self.storm(start + STORM_S))
            if has_trouble():
                await asyncio.sleep(rng.uniform(0.5, 1.5))
                self.frozen = node.name
                node.signal(signal.SIGSTOP)
                self.record.line(f"{node.name} freezes")
                await asyncio.sleep(FREEZE_S)
                node.signal(signal.SIGCONT)
                self.record.line(f"{node.name} wakes")
                self.woken[node.name], self.frozen = time.monotonic(), ""
            await storm
            await asyncio.sleep(max(0.0, start + ROUND_S - time.monotonic()))

    async def run(self) -> int:
        port = 20_990
        await self.store.start("127.0.0.10", port)
        replicas = [Replica(f"i-desk-{n}", "jadual-desk", zone) for n, zone in enumerate(ZONES)]
        for replica in replicas:
            await replica.start()
            self.store.put("servers", replica.name, replica.entry())
        self.store.put("config", "main", manifest(1))
        self.fleet.prepare(self.store.address)
        try:
            await self.fleet.start()
            await asyncio.sleep(4.0)
            self.record.line("traffic starts")
            probes = [asyncio.create_task(self.probe(node)) for node in self.fleet.nodes]
            await self.play()
            for task in probes:
                task.cancel()
        finally:
            for node in self.fleet.nodes:
                if node.log.exists():
                    (Path("/tmp/out") / f"{node.name}.log").write_bytes(node.log.read_bytes())
            self.fleet.end()
            for replica in replicas:
                await replica.stop()
        return self.record.end(self.broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(Run().run()))
