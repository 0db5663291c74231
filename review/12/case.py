"""Six of eight machines lose power; the other two send requests to replicas that have left.

TROUBLE=0 lets all machines run; the replicas leave at the same times.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

from review.lib3.consumers import Consumer
from review.lib3.nodes import BOUNDS, Fleet, Node
from review.lib3.record import Record
from review.lib3.replicas import Replica
from review.lib3.store import Store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The machines of the site rangka-jadual.
LOST_ZONES = {"kv-shah": 2, "kv-cyber": 3, "kv-bangsar": 1}
KEPT_ZONE, KEPT = "kv-puchong", 2
HOST, SERVICE, KEY = "desk.example", "jadual-desk", "key-1"
DEADLINE_MS = 1500
REPLICAS, LEAVING_A_ROUND = 24, 3
ROUNDS, ROUND_S = 6, 13.0
# Nodes look at their role every 0.5 s. Each round meets another moment between two looks.
POWER_LOST_AT_S, LATER_A_ROUND_S = 1.0, 0.08
DARK_S = 2.0
LEAVES_AFTER_S = 0.02
EXITS_AFTER_S = 2.1  # after the report; the replica serves for `drain_ms` and a little longer
WORK_S = 0.09
SEND_INTERVAL_S = 0.02
DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = BOUNDS["stable_window_ms"] / 1000


def manifest() -> dict:
    """Return a manifest with one route."""
    route = {
        "name": "r-book",
        "host": HOST,
        "prefix": "/book/",
        "kind": "unsafe",
        "timeout_ms": DEADLINE_MS,
        "latency_target_ms": 125,
        "priority": 0,
        "service": SERVICE,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 0,
    }
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 110}
    return {
        "version": 3,
        "routes": [route],
        "services": [{**service, "cold_s": 0, "cold_per_s": 0}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "studio", "api_keys": [KEY]}],
    }


class Play:
    """The events of the case, in order."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._store = Store(record)
        zones = [*LOST_ZONES, KEPT_ZONE]
        self._replicas = [
            Replica(record, self._store, f"r-{number}", SERVICE, zones[number % len(zones)])
            for number in range(REPLICAS)
        ]
        self._is_over = False

    async def run(self) -> bool:
        """Play the case; return whether it could run."""
        await self._store.start()
        self._store.put("config", "main", manifest())
        for replica in self._replicas:
            replica.work_s = WORK_S
            await replica.start()
        zones = [zone for zone, count in LOST_ZONES.items() for _ in range(count)]
        with Fleet([*zones, *[KEPT_ZONE] * KEPT], self._store.address) as fleet:
            if not await fleet.start():
                return False
            await asyncio.sleep(STABLE_S)
            kept = [node for node in fleet.nodes if node.zone == KEPT_ZONE]
            lost = [node for node in fleet.nodes if node.zone != KEPT_ZONE]
            traffic = [asyncio.ensure_future(self._send(node.front)) for node in kept]
            for number in range(ROUNDS):
                await self._play_round(number, lost)
            self._is_over = True
            await asyncio.gather(*traffic)
            is_up = all(node.is_running() for node in fleet.nodes)
        for replica in self._replicas:
            await replica.stop()
        await self._store.stop()
        return is_up

    async def _play_round(self, number: int, lost: list[Node]) -> None:
        began_at = self._record.now()
        await asyncio.sleep(POWER_LOST_AT_S + number * LATER_A_ROUND_S)
        if HAS_TROUBLE:
            for node in lost:
                node.send_signal(signal.SIGKILL)
            for node in lost:
                node.wait()
            self._record.add("power is lost", nodes=[node.name for node in lost])
        await asyncio.sleep(LEAVES_AFTER_S)
        acked_at = self._record.now()
        first = number * LEAVING_A_ROUND
        leaving = self._replicas[first : first + LEAVING_A_ROUND]
        for replica in leaving:
            replica.state = "draining"
            self._record.add("ack", name=replica.name, revision=replica.report())
        await asyncio.sleep(DARK_S)
        if HAS_TROUBLE:
            for node in lost:
                node.start()
            self._record.add("power is back")
        await asyncio.sleep(max(0.0, acked_at + EXITS_AFTER_S - self._record.now()))
        for replica in leaving:
            await replica.stop()
            self._record.add("exits", name=replica.name)
        await asyncio.sleep(began_at + ROUND_S - self._record.now())

    async def _send(self, node: str) -> None:
        consumer = Consumer(self._record, HOST)
        pending = set()
        while not self._is_over:
            request = consumer.send(node, "POST", "/book/1", KEY, DEADLINE_MS, body=b"x" * 600)
            task = asyncio.ensure_future(request)
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*pending)


def judge(record: Record) -> bool:
    """Add what broke the rule to the record; return whether it was broken."""
    acks = {entry["name"]: entry["t"] for entry in record.select("ack")}
    # All requests are sent to machines that nothing has happened to.
    late = [
        {**entry, "after_s": round(entry["t"] - acks[entry["replica"]], 3)}
        for entry in record.select("reaches")
        if entry["replica"] in acks and entry["t"] > acks[entry["replica"]] + DRAIN_S
    ]
    got = {entry["id"]: entry["status"] for entry in record.select("gets")}
    ran = {entry["id"] for entry in record.select("runs")}
    lost = [e for e in late if e["id"] in ran and got[e["id"]] != 200]
    text = (
        f"{len(late)} requests reached a replica later than {DRAIN_S:g} s after the ack of its"
        f" leaving, the last {max((e['after_s'] for e in late), default=0)} s after it; {len(lost)} of them"
        " ran and were cut off by its exit"
    )
    record.add("count", text=text, late=late)
    print(text)
    return bool(late)


def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        could_run = asyncio.run(Play(record).run())
        is_broken = could_run and judge(record)
    finally:
        record.write()
    if not could_run:
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as exc:
        print(f"the case couldn't run: {exc!r}", file=sys.stderr)
        sys.exit(2)
