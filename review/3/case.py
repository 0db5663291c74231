"""Open channels to the store go silent; a manifest that comes later must be in force in time."""

import asyncio
import math
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.consumers import HOST, KEY, Channel, close_channels  # noqa: E402
from lib.nodes import Fleet, free_ports  # noqa: E402
from lib.proxy import Proxy  # noqa: E402
from lib.record import Record, has_trouble  # noqa: E402
from lib.replicas import Replica  # noqa: E402
from lib.store import Store  # noqa: E402

ZONES = {"walvis-a": 2, "walvis-b": 2, "swakop-a": 1, "henties": 1}  # as in the site file
CONFIG_APPLY_S = 2.0  # `config_apply_ms`
STABLE_S = 3.0  # `stable_window_ms`
PROBE_S = 0.1
ROUNDS = 8
ROUND_S = 11.6  # a watch waits for 10 s at most, and its answer for 1 s more
STORM_S, STORM_GAP_S = 4.0, 0.33  # `config_storm`
SERVICES = ("desk-old", "desk-new")


def manifest(version: int, service: str) -> dict:
    """Return a manifest whose only route goes to `service`."""
    route = {"name": "desk", "host": HOST, "prefix": "/desk/", "kind": "unsafe", "timeout_ms": 800,
             "latency_target_ms": 100, "priority": 2, "service": service,
             "attempts": 1}  # fmt: skip
    return {
        "version": version, "routes": [route],
        "services": [{"name": name, "max_conns": 110} for name in SERVICES],
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
        self.service = SERVICES[0]
        self.moved_at = math.inf  # when the store acked the manifest that moved the route
        self.silent_at = -100.0
        self.broken: list[str] = []
        self.ran_by: dict[str, str] = {}

    def change(self, moves: bool) -> None:
        """Write the next version of the manifest; the store's answer is the ack."""
        self.version += 1
        if moves:
            self.service = SERVICES[1 - SERVICES.index(self.service)]
        self.store.put("config", "main", manifest(self.version, self.service))
        if moves:
            self.moved_at = time.monotonic()
        self.record.line(f"manifest {self.version} acked: {self.service}")

    async def probe(self, node) -> None:
        """Send requests to a machine, one after the other."""
        channel = Channel(node.name, node.front)
        while True:
            await asyncio.sleep(PROBE_S)
            service, moved_at = self.service, self.moved_at
            is_in_touch = time.monotonic() >= self.silent_at + STABLE_S
            answer = await channel.ask("/desk/x", 1500, b"book")
            ran_by = self.ran_by.get(answer.id, "nobody")
            late_s = answer.sent_at - moved_at - CONFIG_APPLY_S
            text = f"{answer.id} sent to {node.name}: {answer.status}, run by {ran_by}"
            self.record.line(text, answer.sent_at)
            if late_s <= 0 or service != self.service or not is_in_touch:
                continue
            if ran_by == SERVICES[1 - SERVICES.index(service)]:
                self.broken.append(
                    f"request {text}, {CONFIG_APPLY_S + late_s:.3f} s after the ack of the"
                    f" manifest that moved its route to {service}"
                )

    async def storm(self) -> None:
        """Change the manifest again and again; one change moves the route.

        That is the first one for which all machines are in touch again.
        """
        start, has_moved = time.monotonic(), False
        while time.monotonic() < start + STORM_S:
            moves = not has_moved and time.monotonic() > max(start, self.silent_at + STABLE_S)
            has_moved = has_moved or moves
            self.change(moves)
            await asyncio.sleep(STORM_GAP_S)

    async def play(self, proxy: Proxy) -> None:
        rng = random.Random()
        for _ in range(ROUNDS):
            start = time.monotonic()
            if has_trouble():
                self.silent_at = math.inf  # to come in this storm
            storm = asyncio.create_task(self.storm())
            await asyncio.sleep(rng.uniform(0.2, 0.6))
            if has_trouble():
                self.record.line(f"{proxy.silence()} open channels to the store go silent")
                self.silent_at = time.monotonic()
            await storm
            await asyncio.sleep(start + ROUND_S - time.monotonic())

    async def run(self) -> int:
        port = free_ports(["127.0.0.10"], 2)
        await self.store.start("127.0.0.10", port)
        proxy = Proxy(("127.0.0.10", port))
        await proxy.start("127.0.0.10", port + 1)
        replicas = [Replica(f"{name}-{n}", name, "walvis-a") for name in SERVICES for n in range(2)]
        for replica in replicas:
            replica.on_run = lambda each, request: self.ran_by.update({request.id: each.service})
            await replica.start()
            self.store.put("servers", replica.name, replica.entry())
        self.store.put("config", "main", manifest(1, self.service))
        self.fleet.prepare(f"127.0.0.10:{port + 1}")
        probes = []
        try:
            await self.fleet.start()
            await asyncio.sleep(4.0)
            self.record.line("traffic starts")
            probes = [asyncio.create_task(self.probe(node)) for node in self.fleet.nodes]
            await self.play(proxy)
        finally:
            for task in probes:
                task.cancel()
            await close_channels()
            self.fleet.end()
            proxy.close()
            for replica in replicas:
                await replica.stop()
        return self.record.end(self.broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(Run().run()))
