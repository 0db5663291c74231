"""The store comes back from a copy; the manifest that follows is never applied.

TROUBLE=0 leaves the store up; everything else is the same.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

from review.lib3.consumers import Consumer
from review.lib3.nodes import BOUNDS, Fleet
from review.lib3.record import Record
from review.lib3.replicas import Replica
from review.lib3.store import Store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "desk.example"
KEPT_KEY, WITHDRAWN_KEY = "key-kept", "key-withdrawn"
OLD, NEW = "desk-old", "desk-new"
COPY_AT_S = 3.0
AWAY_AT_S, BACK_AT_S = 8.5, 9.5
LAST_CHANGES_AT_S = 14.0
EXITS_AFTER_S = 4.0  # the leaving replica, after its report
END_AT_S = 30.0
SEND_INTERVAL_S = 0.04
WORK_S = 0.09
APPLY_S = BOUNDS["config_apply_ms"] / 1000
SKEW_S = BOUNDS["skew_max_ms"] / 1000
EVAC_S = BOUNDS["evac_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


def manifest(version: int, service: str, keys: list[str], timeout_ms: int) -> dict:
    """Return a manifest with one route."""
    route = {
        "name": "r-book",
        "host": HOST,
        "prefix": "/book/",
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "latency_target_ms": 125,
        "priority": 0,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 0,
    }
    services = [
        {"name": name, "health_path": "/healthz", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}
        for name in (OLD, NEW)
    ]
    return {
        "version": version,
        "routes": [route],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "studio", "api_keys": keys}],
    }


class Play:
    """The events of the case, in order."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._store = Store(record)
        names = [("old-1", OLD, "zone-a"), ("old-2", OLD, "zone-b"), ("old-3", OLD, "zone-c")]
        names += [("new-1", NEW, "zone-a"), ("new-2", NEW, "zone-b"), ("new-3", NEW, "zone-c")]
        self._replicas = {n: Replica(record, self._store, n, s, z) for n, s, z in names}

    async def run(self) -> bool:
        """Play the case; return whether it could run."""
        both = [KEPT_KEY, WITHDRAWN_KEY]
        await self._store.start()
        self._store.put("config", "main", manifest(3, OLD, both, 1500))
        for replica in self._replicas.values():
            replica.work_s = WORK_S
            await replica.start()
        with Fleet(ZONES, self._store.address) as fleet:
            if not await fleet.start():
                return False
            await asyncio.sleep(3.0)
            self._began_at = self._record.now()
            traffic = [asyncio.ensure_future(self._send(node.front)) for node in fleet.nodes]
            await self._change()
            await asyncio.gather(*traffic)
            is_up = all(node.is_running() for node in fleet.nodes)
        for replica in self._replicas.values():
            await replica.stop()
        await self._store.stop()
        return is_up

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._began_at + at_s - self._record.now()))

    async def _change(self) -> None:
        both = [KEPT_KEY, WITHDRAWN_KEY]
        await self._until(COPY_AT_S)
        saved = self._store.make_copy()
        self._record.add("copy", revision=self._store.revision)
        # An operator's ordinary work: manifests, and a zone that is emptied and taken back.
        for number, version in enumerate((5, 8, 9, 13, 14, 17)):
            await self._until(COPY_AT_S + 0.5 * (number + 1))
            self._put("config", "main", manifest(version, OLD, both, 1500 + version))
        await self._until(COPY_AT_S + 3.2)
        self._put("evacuations", "zone-c", {})
        await self._until(COPY_AT_S + 4.2)
        self._delete("evacuations", "zone-c")
        if HAS_TROUBLE:
            await self._until(AWAY_AT_S)
            self._record.add("store is away", revision=self._store.revision)
            await self._store.stop()
            await self._until(BACK_AT_S)
            self._store.restore(saved)
            await self._store.start()
            self._record.add("store is back", revision=self._store.revision, era=self._store.era)
        # What the operator wrote is written again.
        await self._until(BACK_AT_S + 0.1)
        self._put("config", "main", manifest(17, OLD, both, 1517))
        await self._until(LAST_CHANGES_AT_S)
        self._put("config", "main", manifest(21, NEW, [KEPT_KEY], 1517))
        self._put("evacuations", "zone-c", {})
        leaving = self._replicas["old-2"]
        leaving.state = "draining"
        self._record.add("ack", kind="servers", name="old-2", revision=leaving.report())
        await self._until(LAST_CHANGES_AT_S + EXITS_AFTER_S)
        await leaving.stop()
        self._record.add("exits", replica="old-2")
        await self._until(END_AT_S)

    def _put(self, kind: str, name: str, spec: dict) -> None:
        revision = self._store.put(kind, name, spec)
        self._record.add("ack", kind=kind, name=name, revision=revision, spec=spec)

    def _delete(self, kind: str, name: str) -> None:
        revision = self._store.delete(kind, name)
        self._record.add("ack", kind=kind, name=name, revision=revision, deleted=True)

    async def _send(self, node: str) -> None:
        consumer = Consumer(self._record, HOST)
        pending = set()
        while self._record.now() < self._began_at + END_AT_S:
            key = random.choice([KEPT_KEY, WITHDRAWN_KEY])
            request = consumer.send(node, "POST", "/book/1", key, 1500, body=b"x" * 600)
            task = asyncio.ensure_future(request)
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*pending)


def judge(record: Record) -> bool:
    """Add what broke a rule to the record; return whether a rule was broken."""
    acks = record.select("ack")
    manifest_at = [a["t"] for a in acks if a["kind"] == "config"][-1]
    evacuated_at = [a["t"] for a in acks if a["kind"] == "evacuations"][-1]
    draining_at = [a["t"] for a in acks if a["kind"] == "servers"][-1]
    sent = {entry["id"]: entry for entry in record.select("sends")}
    runs = [(sent[run["id"]], run) for run in record.select("runs")]
    after = [(s, r) for s, r in runs if s["t"] > manifest_at + APPLY_S + SKEW_S]
    counts = {
        "requests sent later than 2 s after the ack": sum(
            s["t"] > manifest_at + APPLY_S for s in sent.values()
        ),
        "CONFIG: of these, run by the old service": sum(
            s["t"] > manifest_at + APPLY_S and r["service"] == OLD for s, r in runs
        ),
        "CONFIG: of these, run with the withdrawn key": sum(
            s["t"] > manifest_at + APPLY_S and s["key"] == WITHDRAWN_KEY for s, r in runs
        ),
        "CONFIG: the same later than 2 + 5 s after the ack": sum(
            r["service"] == OLD or s["key"] == WITHDRAWN_KEY for s, r in after
        ),
        "EVAC: ran in the zone later than 5 s after the ack": sum(
            r["t"] > evacuated_at + EVAC_S and r["zone"] == "zone-c" for _, r in runs
        ),
        "DRAIN: reached the leaving replica later than 2 s after the ack": sum(
            r["t"] > draining_at + DRAIN_S and r["replica"] == "old-2" for _, r in runs
        ),
    }
    got = {entry["id"]: entry["status"] for entry in record.select("gets")}
    exits_at = record.select("exits")[-1]["t"]
    counts["LOST: cut off by its exit, of these"] = sum(
        exits_at - WORK_S < r["t"] < exits_at and r["replica"] == "old-2" and got[s["id"]] != 200
        for s, r in runs
    )
    for text, count in counts.items():
        record.add("count", text=text, count=count)
        print(f"{count:5}  {text}")
    return any(count for text, count in counts.items() if ":" in text)


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
