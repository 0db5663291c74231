"""One head of wrong bytes from a replica stops a node for seconds.

TROUBLE=0 lets the replica reject the same requests with a sound head.
"""

import asyncio
import os
import sys
from pathlib import Path

from review.lib3.consumers import Consumer
from review.lib3.http import Message, encode
from review.lib3.nodes import Fleet
from review.lib3.record import Record
from review.lib3.replicas import Replica
from review.lib3.store import Store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST, SERVICE, KEY = "desk.example", "desk", "key-1"
TIMEOUT_MS, LATE_MS, DEADLINE_MS = 1500, 500, 4000
WRONG_AT_S = [5.0, 20.0]
WRONG_BYTES = 60_000
END_AT_S = 36.0
SEND_INTERVAL_S = 0.1
READY_INTERVAL_S = 1.0


def manifest() -> dict:
    """Return a manifest with one route."""
    route = {
        "name": "r-desk",
        "host": HOST,
        "prefix": "/desk/",
        "kind": "unsafe",
        "timeout_ms": TIMEOUT_MS,
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


class GarblingReplica(Replica):
    """A replica that answers one request with wrong bytes each time it is told to."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.is_due = False
        self.override = self._reject

    async def _reject(self, _: Replica, message: Message) -> bytes | None:
        if not self.is_due:
            return None
        self.is_due = False
        request_id = message.headers["x-request-id"]
        self._record.add("rejects", id=request_id, replica=self.name, wrong=HAS_TROUBLE)
        fields = {"X-Request-Id": request_id, "X-Not-Run": "1"}
        fields["Retry-After"] = "1" * WRONG_BYTES + "~" if HAS_TROUBLE else "1"
        return encode("HTTP/1.1 503 Service Unavailable", fields)


async def play(record: Record) -> bool:
    """Play the case; return whether it could run."""
    store = Store(record)
    await store.start()
    store.put("config", "main", manifest())
    wrong = GarblingReplica(record, store, "r-1", SERVICE, "zone-a")
    others = [Replica(record, store, f"r-{n}", SERVICE, z) for n, z in ((2, "zone-b"), (3, "zone-c"))]
    for replica in (wrong, *others):
        await replica.start()
    with Fleet(ZONES, store.address) as fleet:
        if not await fleet.start():
            return False
        await asyncio.sleep(3.0)
        began_at = record.now()
        end = began_at + END_AT_S
        tasks = [asyncio.ensure_future(send(record, node.front, end)) for node in fleet.nodes]
        tasks += [asyncio.ensure_future(check(record, node, end)) for node in fleet.nodes]
        for at_s in WRONG_AT_S:
            await asyncio.sleep(began_at + at_s - record.now())
            wrong.is_due = True
        await asyncio.gather(*tasks)
        is_up = all(node.is_running() for node in fleet.nodes)
    for replica in (wrong, *others):
        await replica.stop()
    await store.stop()
    return is_up


async def send(record: Record, node: str, end: float) -> None:
    """Send requests to a node until `end`."""
    consumer = Consumer(record, HOST)
    pending = set()
    while record.now() < end:
        request = consumer.send(node, "POST", "/desk/1", KEY, DEADLINE_MS, body=b"x" * 600)
        task = asyncio.ensure_future(request)
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*pending)


async def check(record: Record, node: object, end: float) -> None:
    """Ask a node once a second whether it is ready, as the platform does."""
    while record.now() < end:
        record.add("readiness", node=node.front, is_ready=await node.is_ready())
        await asyncio.sleep(READY_INTERVAL_S)


def judge(record: Record) -> bool:
    """Add what broke the rule to the record; return whether it was broken."""
    answers = record.select("gets")
    late = [entry for entry in answers if entry["took_s"] > TIMEOUT_MS / 1000]
    limit_s = (TIMEOUT_MS + LATE_MS) / 1000
    too_late = [e for e in late if e["took_s"] > limit_s or e["status"] is None]
    misses = [e for e in record.select("readiness") if not e["is_ready"]]
    text = (
        f"{len(answers)} requests; {len(late)} unanswered at {TIMEOUT_MS} ms, of these"
        f" {len(too_late)} also {LATE_MS} ms later; {len(misses)} status checks unanswered"
    )
    record.add("count", text=text)
    print(text)
    return len(too_late) > len(late) / 2


def main() -> int:
    """Run the case and return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        could_run = asyncio.run(play(record)) and bool(record.select("rejects"))
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
