"""A machine freezes again and again soon after a manifest; its neighbour must not fall behind."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.consumers import HOST, KEY, Channel, close_channels  # noqa: E402
from lib.nodes import Fleet, free_ports  # noqa: E402
from lib.record import Record, has_trouble  # noqa: E402
from lib.replicas import Replica  # noqa: E402
from lib.store import Store  # noqa: E402

ZONES = {"kv-shah": 2, "kv-cyber": 3, "kv-puchong": 2, "kv-bangsar": 1}  # as in the site file
CONFIG_APPLY_S = 2.0  # `config_apply_ms`
STABLE_S = 3.0  # `stable_window_ms`
FREEZES = "edge-kv-shah-2"
FREEZE_S = 2.8  # `node_freeze`: `for_s` 4.0 in a site file
FREEZE_AFTER_S = (0.005, 0.25)  # after the manifest; the pages name 5 to 400 ms for a loss of power
STORM_GAP_S = 0.4  # `config_storm`: `gap_s` 0.33
ROUND_S = 4.1
ROUNDS = 25
PROBE_S = 0.05
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
        self.acked_at = time.monotonic()
        self.broken: list[str] = []
        self.ran_by: dict[str, str] = {}

    def change(self, moves: bool) -> None:
        """Write a manifest, which may move the route; the store's answer is the ack."""
        self.version += 1
        if moves:
            self.service = SERVICES[1 - SERVICES.index(self.service)]
        self.store.put("config", "main", manifest(self.version, self.service))
        if moves:
            self.acked_at = time.monotonic()
        self.record.line(f"manifest {self.version} acked: {self.service}")

    async def probe(self, node) -> None:
        """Send requests to a machine, one after the other."""
        channel = Channel(node.name, node.front)
        while True:
            await asyncio.sleep(PROBE_S)
            service, acked_at = self.service, self.acked_at
            answer = await channel.ask("/desk/x", 1500, b"book")
            ran_by = self.ran_by.get(answer.id, "nobody")
            late_s = answer.sent_at - acked_at
            text = f"{answer.id} sent to {node.name}: {answer.status}, run by {ran_by}"
            self.record.line(text, answer.sent_at)
            if late_s <= CONFIG_APPLY_S or service != self.service:
                continue
            if ran_by == SERVICES[1 - SERVICES.index(service)]:
                self.broken.append(
                    f"request {text}, {late_s:.3f} s after the ack of the manifest that moved its"
                    f" route to {service}"
                )

    async def play(self) -> None:
        rng = random.Random()
        node = next(node for node in self.fleet.nodes if node.name == FREEZES)
        for _ in range(ROUNDS):
            start = time.monotonic()
            for moves in (False, False, True):  # three manifests in quick succession
                self.change(moves)
                await asyncio.sleep(0.0 if moves else STORM_GAP_S)
            if has_trouble():
                await asyncio.sleep(rng.uniform(*FREEZE_AFTER_S))
                node.signal(signal.SIGSTOP)
                self.record.line(f"{node.name} freezes")
                await asyncio.sleep(FREEZE_S)
                node.signal(signal.SIGCONT)
                self.record.line(f"{node.name} wakes")
            await asyncio.sleep(start + ROUND_S - time.monotonic())

    async def run(self) -> int:
        port = free_ports(["127.0.0.10"], 1)
        await self.store.start("127.0.0.10", port)
        replicas = [Replica(f"{name}-{n}", name, "kv-shah") for name in SERVICES for n in range(2)]
        for replica in replicas:
            replica.on_run = lambda each, request: self.ran_by.update({request.id: each.service})
            await replica.start()
            self.store.put("servers", replica.name, replica.entry())
        self.store.put("config", "main", manifest(1, self.service))
        self.fleet.prepare(self.store.address)
        probes = []
        try:
            await self.fleet.start()
            await asyncio.sleep(4.0)
            self.record.line("traffic starts")
            # The machine that freezes is not asked: it is never in touch.
            asked = [node for node in self.fleet.nodes if node.name != FREEZES]
            probes = [asyncio.create_task(self.probe(node)) for node in asked]
            await self.play()
        finally:
            for task in probes:
                task.cancel()
            await close_channels()
            self.fleet.end()
            for replica in replicas:
                await replica.stop()
        return self.record.end(self.broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(Run().run()))
