"""The environment of the hosts: the store, and replicas behind proxies."""

import asyncio
import random
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace

from soak.history import (
    MAX_IN_PAUSE,
    PAUSE_GRACE_S,
    Announcement,
    ReplicaRequest,
    RunHistory,
    host_of,
)
from soak.layout import Layout
from soak.proxy import Proxy
from soak.timed_rules import DRAIN_S, EVACUATION_S, Exclusion, Span
from tests.standins import replica as r
from tests.standins.node_fleet import MODEL_SERVICE, PLAIN_SERVICE, ROUTES, manifest, replica_record
from tests.standins.object_store import ObjectStore
from tests.standins.replica import ReceivedRequest, Replica, ScriptedResponse

REPLICA_COUNTS = {MODEL_SERVICE: 4, PLAIN_SERVICE: 3}
WRITTEN_BY_OTHERS = ("config", "servers", "evacuations", "rollouts")  # kinds of objects
HTTP_UNAVAILABLE = 503
RENEWAL_INTERVAL_S = 1.0  # between two writes of an entry
COLD_S = 2.0  # after a replica has left and is back
VERSIONS = ("v1", "v2")  # of the replicas of each service, in turn
TIMEOUT_MS = 6000  # of all routes; a request may meet a silent replica, move, and meet another
EVENT_INTERVAL_S = 0.03  # between the events of a stream
PROCESSING_S = 0.02
LONG_PROCESSING_S = 1.2  # of one commit in LONG_EVERY
LONG_EVERY = 12
ERROR_SHARE = 0.02
REJECTED_SHARE = 0.02
TRUNCATED_SHARE = 0.02  # truncated or missing responses


def stream_length(request_id: str) -> int:
    """Return the number of events in the stream for a request, 3 to 22."""
    return 3 + zlib.crc32(request_id.encode()) % 20


def stream_body(request_id: str) -> bytes:
    """Return the complete stream for a request."""
    return b"".join(r.event(number) for number in range(1, stream_length(request_id) + 1))


def processing_s(request: ReceivedRequest) -> float:
    """Return the time until the response to a request begins, in seconds."""
    is_long = zlib.crc32(request.request_id.encode()) % LONG_EVERY == 0
    return LONG_PROCESSING_S if is_long and "/commit/" in request.path else PROCESSING_S


class SoakReplica(Replica):
    """A replica with delays and random failures that records the requests it receives.

    It can tell hosts that it is leaving until `leaves_at`, or ask them for a pause until
    `paused_until`, and is cold until `cold_until`, in seconds since the start of the run.
    """

    def __init__(
        self, name: str, history: RunHistory, rng: random.Random, now: Callable[[], float]
    ) -> None:
        super().__init__(self._behave_in_time)
        self.leaves_at = self.paused_until = self.cold_until = 0.0
        self.start_count = 1
        self._now = now
        self._told: set[tuple[str, float]] = set()
        self.name = name
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._history = history
        self._rng = rng

    async def fall_silent(self, duration_s: float) -> None:
        """Send nothing for `duration_s` seconds, then go on."""
        self._speaks.clear()
        await asyncio.sleep(duration_s)
        self._speaks.set()

    def _behave_in_time(self, request: ReceivedRequest) -> ScriptedResponse:
        return replace(self._announce(request), pause_s=processing_s(request))

    def _announce(self, request: ReceivedRequest) -> ScriptedResponse:
        """Return the response, with what the replica tells the host of the request."""
        now, script = self._now(), self._behave(request)
        # A host may never read the head of a response that is cut short, or reads it late.
        is_cut = request.request_id in self._history.truncated_ids
        is_late = processing_s(request) > PROCESSING_S
        if is_cut or is_late or request.headers.get("x-expect-instance") != self.name:
            return script
        if now < self.leaves_at:
            self._record("DRAIN", request, self.leaves_at, DRAIN_S, 0)
            script = _with_header(script, "Server-Leaving: 1")
        if now < self.paused_until and b"X-Not-Run" in script.pieces[0]:
            self._record("BUDGET", request, self.paused_until, PAUSE_GRACE_S, MAX_IN_PAUSE)
            script = _with_header(script, f"Retry-After: {self.paused_until - now:.3f}")
        return script

    def _record(
        self, rule: str, request: ReceivedRequest, end: float, grace_s: float, allowed: int
    ) -> None:
        host, now = host_of(request.request_id), self._now()
        if (host, end) not in self._told:
            self._told.add((host, end))
            self._history.announcements.append(
                Announcement(rule, self.name, host, now, now + grace_s, end, allowed)
            )

    def start_again(self) -> None:
        """Begin a new lifetime, which none of the announcements are about."""
        self.start_count += 1
        self.leaves_at = self.paused_until = 0.0
        self._history.end_announcements(self.name, self._now())

    def _behave(self, request: ReceivedRequest) -> ScriptedResponse:
        expected = request.headers.get("x-expect-instance", "")
        is_other, chance = expected != self.name, self._rng.random()
        is_rejected = chance < REJECTED_SHARE or self._now() < self.paused_until
        self._history.replica_requests.append(
            ReplicaRequest(
                request.request_id,
                self.name,
                expected,
                request.headers.get("x-tenant", ""),
                "x-api-key" in request.headers,
                is_executed=not is_other and not is_rejected,
                arrived_at=self._now(),
            )
        )
        if is_other:
            return r.misdirected(request)
        if is_rejected:
            return r.rejected(request)
        return self._script_for(request, chance - REJECTED_SHARE)

    def _script_for(self, request: ReceivedRequest, chance: float) -> ScriptedResponse:
        if "/stream/" in request.path or "/resumable/" in request.path:
            first = int(request.headers.get("last-event-id", 0)) + 1
            script = r.stream(request, first, last=stream_length(request.request_id))
        else:
            script = r.complete_response(request, request.request_id.encode())
        if chance < ERROR_SHARE:
            if "last-event-id" in request.headers:
                self._history.record_failed_resume(request.request_id)
            return r.complete_response(request, b"failed", "500 Internal Server Error")
        if chance < ERROR_SHARE + TRUNCATED_SHARE:
            self._history.truncated_ids.add(request.request_id)
            pieces = script.pieces[: len(script.pieces) // 2]
            return ScriptedResponse(pieces, self._rng.choice(["reset", "close"]))
        return script

    async def _respond(
        self, script: ScriptedResponse, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(script.pause_s)
        for piece in script.pieces[:-1]:
            await self._speaks.wait()
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        await self._speaks.wait()
        return await super()._respond(
            ScriptedResponse(script.pieces[-1:], script.then), reader, writer
        )


def _with_header(script: ScriptedResponse, header: str) -> ScriptedResponse:
    head = script.pieces[0].replace(b"\r\n\r\n", f"\r\n{header}\r\n\r\n".encode(), 1)
    return replace(script, pieces=(head, *script.pieces[1:]))


class SoakEnvironment:
    """The store and the replicas of one run. Manages their start and stop as a context."""

    def __init__(
        self,
        layout: Layout,
        history: RunHistory,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.layout = layout
        self.now = now
        self.store = ObjectStore(era=1)
        self._out: set[str] = set()  # replicas whose entries say that they leave, or are removed
        self._states: dict[str, str] = {}  # of entries
        self._renewals = 0
        self.version = 0
        self.replicas: dict[str, tuple[str, SoakReplica, Proxy]] = {}
        self._history = history
        self._rng = rng
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "SoakEnvironment":
        await self._stack.enter_async_context(self.store)
        for service, count in REPLICA_COUNTS.items():
            for number in range(count):
                await self._add_replica(service, f"{service}-{number}")
        await self.change_manifest()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def _add_replica(self, service: str, name: str) -> None:
        replica = SoakReplica(name, self._history, self._rng, self.now)
        await self._stack.enter_async_context(replica)
        proxy = await self._stack.enter_async_context(Proxy(replica.address))
        self.replicas[name] = (service, replica, proxy)
        await self.register(name)

    async def register(self, name: str, state: str = "ready") -> None:
        """Write the entry of a replica into the store, unless it is out."""
        if name in self._out:
            return
        self._states[name] = state
        await self._write_entry(name)

    def is_out(self, name: str) -> bool:
        """Return whether the entry of a replica says that it leaves, or is removed."""
        return name in self._out

    async def renew_entries(self) -> None:
        """Write the entries of all replicas again and again, until cancelled."""
        while True:
            self._renewals += 1
            for name in self.replicas.keys() - self._out:
                await self._write_entry(name)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def _write_entry(self, name: str) -> None:
        service, replica, proxy = self.replicas[name]
        zones = self.layout.zone_names
        spec = replica_record(
            replica,
            service,
            addr=proxy.address,
            zone=zones[int(name[-1]) % len(zones)],
            slots=48,
            state=self._states[name],
            seq=1 + self._renewals,
            cold_left_ms=max(0, round(1000 * (replica.cold_until - self.now()))),
            born=replica.start_count,
            version=VERSIONS[int(name[-1]) % len(VERSIONS)],
        )
        await self.store.put("servers", name, spec)

    async def order_rollout(self, service: str, version: str, duration_s: float) -> None:
        """Order that the traffic of `service` be moved to `version`."""
        order = {"service": service, "target": version, "duration_s": duration_s}
        await self.store.put("rollouts", service, order)

    async def withdraw_rollout(self, service: str) -> None:
        """Take the order of a roll-out away, if the store has it."""
        if service in self.store.objects.get("rollouts", {}):
            await self.store.remove("rollouts", service)

    async def restore_store(self, lost_s: float, away_s: float, refuses: bool) -> None:
        """Let the store come back from a copy that is `lost_s` older than the moment it goes away.

        While it is away it refuses connections if `refuses` is set, or else calls. What operators
        and replicas wrote since the copy is written again, but not what others wrote: it takes long
        until revisions are higher than before.
        """
        copy = self.store.copy()
        for number in range(self.layout.others_writes):
            await self.store.put("others", "note", number)
        await asyncio.sleep(lost_s)
        away_at = self.now()
        if refuses:
            self.store.go_away()
        else:
            await self.store.fail_calls(HTTP_UNAVAILABLE)
        await asyncio.sleep(away_s)
        _, lost = self.store.copy()
        self.store.restore(copy)
        if refuses:
            await self.store.come_back()
        else:
            self.store.error_status = 0
        await self.store.write_again(WRITTEN_BY_OTHERS, lost)
        self._history.fleet.store.append(Span(away_at, self.now()))

    async def take_out(self, name: str, duration_s: float, removes: bool) -> None:
        """Let a replica leave for `duration_s` seconds beyond the bound, then start again, cold.

        Its entry says that it leaves, or is removed if `removes` is set.
        """
        if name in self._out or self.now() < self.replicas[name][1].leaves_at:
            return
        if removes:
            await self.store.remove("servers", name)
        else:
            await self.register(name, "draining")
        self._out.add(name)
        acked_at = self.now()
        await asyncio.sleep(DRAIN_S + duration_s)
        span = Span(acked_at, self.now())
        exclusion = Exclusion("DRAIN", frozenset({name}), span, DRAIN_S)
        self._history.fleet.exclusions.append(exclusion)
        self._out.discard(name)
        _, replica, _ = self.replicas[name]
        replica.start_again()
        replica.cold_until = self.now() + COLD_S
        self._history.fleet.cold.append((name, Span(self.now(), replica.cold_until)))
        await self.register(name)

    async def evacuate(self, zone: str, duration_s: float) -> None:
        """Evacuate a zone for `duration_s` seconds beyond the bound."""
        await self.store.put("evacuations", zone, {})
        acked_at = self.now()
        await asyncio.sleep(EVACUATION_S + duration_s)
        zones = self.layout.zone_names
        names = {n for n in self.replicas if zones[int(n[-1]) % len(zones)] == zone}
        span = Span(acked_at, self.now())
        exclusion = Exclusion("EVAC", frozenset(names), span, EVACUATION_S)
        self._history.fleet.exclusions.append(exclusion)
        await self.store.remove("evacuations", zone)

    async def change_manifest(self) -> None:
        """Write the next version of the configuration, the only one that has its probe route."""
        self.version += 1
        probe = {**ROUTES[4], "name": "probe", "prefix": f"/probe-{self.version}/"}
        routes = [{**route, "timeout_ms": TIMEOUT_MS} for route in (*ROUTES, probe)]
        services = [
            {"name": MODEL_SERVICE, "max_conns": 64, "cold_per_s": self.layout.cold_per_s},
            {"name": PLAIN_SERVICE, "cold_per_s": self.layout.cold_per_s},
        ]
        table = manifest(self.version, routes=routes, services=services)
        await self.store.put("config", "main", table)
        self._history.fleet.versions[self.version] = self.now()
