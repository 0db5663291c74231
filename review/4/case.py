"""Replicas lose the path to the store, which drops their entries; it also cuts waiting watches."""

import asyncio
import random
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

ZONES = {"walvis-a": 2, "walvis-b": 2, "swakop-a": 1, "henties": 1}  # as in the site file
DRAIN_S = 2.0  # `drain_ms`
HEARTBEAT_S = 1.2  # `heartbeat_ms`; an entry is removed after three intervals of silence
CUT_S = 5.0  # `srv_cut`: `for_s`
CUT_REPLICAS = 2  # `srv_cut`: `share` 0.2 of ten
CUT_EVERY_S = 7.0
ROUNDS = 13
WATCH_CUT_S = 2.0  # the store cuts the watches that wait, from time to time
ASK_EVERY_S = 0.03


def manifest() -> dict:
    """Return the manifest."""
    route = {"name": "desk", "host": HOST, "prefix": "/desk/", "kind": "unsafe", "timeout_ms": 800,
             "latency_target_ms": 125, "priority": 2, "service": "dispatch-app",
             "attempts": 1}  # fmt: skip
    return {
        "version": 1, "routes": [route], "services": [{"name": "dispatch-app", "max_conns": 96}],
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
        self.replicas: list[Replica] = []
        self.cut: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}  # when the store removed the entry
        self.broken: list[str] = []
        self.rng = random.Random()

    async def beat(self, replica: Replica) -> None:
        """Write the replica's entry, as long as it reaches the store."""
        seq = 0
        await asyncio.sleep(self.rng.uniform(0.0, HEARTBEAT_S))
        while True:
            if replica.name not in self.cut:
                seq += 1
                known = replica.name in self.store.kinds.get("servers", {})
                self.heard_at[replica.name] = time.monotonic()
                if not known:  # an entry whose `seq` alone changes makes no event
                    self.store.put("servers", replica.name, replica.entry(seq=seq))
                    self.gone_at.pop(replica.name, None)
                    self.record.line(f"entry of {replica.name} written")
            await asyncio.sleep(HEARTBEAT_S)

    async def remove_silent(self) -> None:
        """Remove the entries of replicas that the store has not heard of."""
        while True:
            now = time.monotonic()
            for name, heard_at in self.heard_at.items():
                if now - heard_at > 3 * HEARTBEAT_S and name not in self.gone_at:
                    self.store.delete("servers", name)
                    self.gone_at[name] = time.monotonic()
                    self.record.line(f"entry of {name} removed")
            await asyncio.sleep(0.02)

    async def cut_watches(self) -> None:
        """Cut the watches that wait, as the store may."""
        while True:
            await asyncio.sleep(WATCH_CUT_S)
            self.record.line(f"{self.store.cut_watches()} waiting watches cut")

    def note_run(self, replica: Replica, request) -> None:
        """Apply the rule DRAIN to a request that a replica has begun."""
        gone_at = self.gone_at.get(replica.name)
        self.record.line(f"{replica.name} runs {request.id}")
        if gone_at is None:
            return
        late_s = request.at - gone_at
        if late_s > DRAIN_S:
            self.broken.append(
                f"request {request.id} reached {replica.name} {late_s:.3f} s after"
                f" its entry was removed"
            )

    async def consume(self, node) -> None:
        """Ask a machine for one thing after the other."""
        channel = Channel(node.name, node.front)
        while True:
            answer = await channel.ask("/desk/x", 1500, b"order")
            self.record.line(f"{answer.id} sent to {node.name}: {answer.status}", answer.sent_at)
            await asyncio.sleep(ASK_EVERY_S)

    async def run(self) -> int:
        port = free_ports(["127.0.0.10"], 1)
        await self.store.start("127.0.0.10", port)
        for number in range(10):
            zone = list(ZONES)[number % len(ZONES)]
            replica = Replica(f"i-app-{number}", "dispatch-app", zone, slots=6)
            replica.on_run = self.note_run
            await replica.start()
            self.replicas.append(replica)
        self.store.put("config", "main", manifest())
        tasks = [asyncio.create_task(self.beat(replica)) for replica in self.replicas]
        tasks.append(asyncio.create_task(self.remove_silent()))
        self.fleet.prepare(self.store.address)
        try:
            await self.fleet.start()
            await asyncio.sleep(4.0)
            self.record.line("traffic starts")
            tasks += [asyncio.create_task(self.consume(node)) for node in self.fleet.nodes]
            if has_trouble():
                tasks.append(asyncio.create_task(self.cut_watches()))
            for _ in range(ROUNDS):
                start = time.monotonic()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                if has_trouble():
                    self.cut = {r.name for r in self.rng.sample(self.replicas, CUT_REPLICAS)}
                    self.record.line(f"{sorted(self.cut)} lose the path to the store")
                    await asyncio.sleep(CUT_S)
                    self.cut = set()
                await asyncio.sleep(start + CUT_EVERY_S - time.monotonic())
        finally:
            for task in tasks:
                task.cancel()
            await close_channels()
            self.fleet.end()
            for replica in self.replicas:
                await replica.stop()
        return self.record.end(self.broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(Run().run()))
