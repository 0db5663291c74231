"""Machines are stopped in turn, as planned, while consumers read streams on kept channels."""

import asyncio
import random
import signal
import sys
import time
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.consumers import HOST, KEY, Channel, close_channels  # noqa: E402
from lib.nodes import Fleet, free_ports  # noqa: E402
from lib.record import Record, has_trouble  # noqa: E402
from lib.replicas import Replica  # noqa: E402
from lib.store import Store  # noqa: E402

ZONES = {"walvis-a": 2, "walvis-b": 2, "swakop-a": 1, "henties": 1}  # as in the site file
GRACE_S = 8.0  # `grace_s`
LOSS_SLACK_S = 0.2  # `loss_slack_ms`
LAST_EXCUSED_S = 3.0  # the rule excuses some requests that were sent by then
CONSUMERS = 480
CALM_S = 8.0  # before the first stop
STOP_EVERY_S = 4.0  # `roll_term`: `gap_s` 1.0 and 1.3 in the site file
ROLLS = 3
EVENT_S = 0.25  # the sheet allows pauses of 0.3 s
BRIEF, NOTE = "/brief/", "/note/"
# Events of a request: mean, spread (of a log-normal distribution) and maximum. The site file has
# spreads from 0.44 to 1.4, and maxima of 3 to 4 times the mean.
EVENTS = {BRIEF: (17, 0.44, 57), NOTE: (5, 1.0, 20)}
BUDGET_MS = {BRIEF: 15_000, NOTE: 12_000}


def manifest() -> dict:
    """Return the manifest."""
    routes = [
        {"name": path.strip("/"), "host": HOST, "prefix": path, "kind": "stream", "sticky": False,
         "timeout_ms": BUDGET_MS[path], "latency_target_ms": 500, "gap_aim_ms": 300,
         "priority": 1, "service": "model", "attempts": 1, "resumable": False}
        for path in EVENTS
    ]  # fmt: skip
    return {
        "version": 1, "routes": routes, "services": [{"name": "model", "max_conns": 620}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team-1", "api_keys": [KEY]}],
    }  # fmt: skip


def events_of(request) -> int:
    """Return the number of events of the answer to a request."""
    mean, spread, most = EVENTS[request.path]
    rng = random.Random(zlib.crc32(request.id.encode()))
    return max(1, min(most, round(rng.lognormvariate(-spread * spread / 2, spread) * mean)))


class Run:
    """One run: the fleet, its environment, and what was seen."""

    def __init__(self) -> None:
        self.record = Record(FOLDER)
        self.store = Store()
        self.fleet = Fleet(ZONES)
        self.rng = random.Random()
        self.out: set[str] = set()  # machines that the platform gives no new channels
        self.stopped_at: dict[str, float] = {}
        self.replicas: list[Replica] = []
        self.broken: list[str] = []

    async def consume(self) -> None:
        """Ask for one stream after the other, on a kept channel where the node keeps it open."""
        channel = None
        while True:
            if channel is None or not channel.is_open:
                node = self.rng.choice([n for n in self.fleet.nodes if n.name not in self.out])
                channel = Channel(node.name, node.front)
            path = self.rng.choice((BRIEF, NOTE))
            answer = await channel.ask(path, BUDGET_MS[path])
            self.judge(answer)
            await asyncio.sleep(0.3 if answer.status == 503 else 0.02)

    def judge(self, answer) -> None:
        """Apply the rule LOST, around planned work, to one answer."""
        states = [r.finished[answer.id] for r in self.replicas if answer.id in r.finished]
        events = answer.body.count(b"\nid: ") + answer.body.startswith(b"id: ")
        end = "whole" if answer.complete else answer.note
        text = f"{answer.id} {answer.path} sent to {answer.node}: {answer.status}, {end}"
        self.record.line(f"{text}, {events} events, replica: {states}", answer.sent_at)
        stopped_at = self.stopped_at.get(answer.node)
        if answer.complete or stopped_at is None or not states:
            return
        sent_s, ended_s = answer.sent_at - stopped_at, answer.ended_at - stopped_at
        if ended_s < 0 or sent_s > GRACE_S or answer.note == "no answer in time":
            return
        was_at_work = ended_s >= GRACE_S * 5 / 6
        if was_at_work and sent_s <= LAST_EXCUSED_S:
            return
        self.broken.append(
            f"{text}, after {events} events, at {ended_s:.2f} s after SIGTERM;"
            f" it was sent {sent_s:.2f} s after SIGTERM"
        )

    async def stop(self, node) -> None:
        """Stop a machine as the platform does, and start it again."""
        node.signal(signal.SIGTERM)
        self.stopped_at[node.name] = time.monotonic()
        self.record.line(f"SIGTERM to {node.name}")
        await asyncio.sleep(2.0)  # two questions without a 200
        self.out.add(node.name)
        end = self.stopped_at[node.name] + GRACE_S
        while time.monotonic() < end and node.process.poll() is None:
            await asyncio.sleep(0.05)
        self.record.line(f"{node.name} ended by itself: {node.process.poll() is not None}")
        node.end()
        node.start()
        while not await node.is_ready():
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        self.out.discard(node.name)

    async def run(self) -> int:
        port = free_ports(["127.0.0.10"], 1)
        await self.store.start("127.0.0.10", port)
        for number, zone in enumerate([*ZONES, *ZONES]):
            replica = Replica(f"i-model-{number}", "model", zone, events=events_of, slots=128)
            replica.event_s = EVENT_S
            await replica.start()
            self.replicas.append(replica)
            self.store.put("servers", replica.name, replica.entry())
        self.store.put("config", "main", manifest())
        self.fleet.prepare(self.store.address)
        tasks: list[asyncio.Task] = []
        stops: list[asyncio.Task] = []
        try:
            await self.fleet.start()
            await asyncio.sleep(3.0)
            self.record.line("traffic starts")
            tasks = [asyncio.create_task(self.consume()) for _ in range(CONSUMERS)]
            await asyncio.sleep(CALM_S)
            for node in self.fleet.nodes * ROLLS:
                if has_trouble():
                    stops.append(asyncio.create_task(self.stop(node)))
                await asyncio.sleep(STOP_EVERY_S)
            await asyncio.sleep(GRACE_S)
        finally:
            for task in [*tasks, *stops]:
                task.cancel()
            await close_channels()
            self.fleet.end()
            for replica in self.replicas:
                await replica.stop()
        return self.record.end(self.broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(Run().run()))
