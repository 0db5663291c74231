"""The environment of the hosts: the store, and replicas behind proxies."""

import asyncio
import random
import zlib
from contextlib import AsyncExitStack
from dataclasses import replace

from soak.history import ReplicaRequest, RunHistory
from soak.proxy import Proxy
from tests.standins import replica as r
from tests.standins.node_fleet import MODEL_SERVICE, PLAIN_SERVICE, ROUTES, manifest, replica_record
from tests.standins.object_store import ObjectStore
from tests.standins.replica import ReceivedRequest, Replica, ScriptedResponse

REPLICA_COUNTS = {MODEL_SERVICE: 4, PLAIN_SERVICE: 3}
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
    """A replica with delays and random failures that records the requests it receives."""

    def __init__(self, name: str, history: RunHistory, rng: random.Random) -> None:
        super().__init__(self._behave_in_time)
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
        return replace(self._behave(request), pause_s=processing_s(request))

    def _behave(self, request: ReceivedRequest) -> ScriptedResponse:
        expected = request.headers.get("x-expect-instance", "")
        is_other, chance = expected != self.name, self._rng.random()
        is_rejected = chance < REJECTED_SHARE
        self._history.replica_requests.append(
            ReplicaRequest(
                request.request_id,
                self.name,
                expected,
                request.headers.get("x-tenant", ""),
                "x-api-key" in request.headers,
                is_executed=not is_other and not is_rejected,
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


class SoakEnvironment:
    """The store and the replicas of one run. Manages their start and stop as a context."""

    def __init__(self, history: RunHistory, rng: random.Random) -> None:
        self.store = ObjectStore()
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
        replica = SoakReplica(name, self._history, self._rng)
        await self._stack.enter_async_context(replica)
        proxy = await self._stack.enter_async_context(Proxy(replica.address))
        self.replicas[name] = (service, replica, proxy)
        await self.register(name)

    async def register(self, name: str, state: str = "ready") -> None:
        """Write the entry of a replica into the store."""
        service, replica, proxy = self.replicas[name]
        spec = replica_record(replica, service, addr=proxy.address, slots=48, state=state)
        await self.store.put("servers", name, spec)

    async def change_manifest(self) -> None:
        """Write the next version of the configuration, the only one that has its probe route."""
        self.version += 1
        probe = {**ROUTES[4], "name": "probe", "prefix": f"/probe-{self.version}/"}
        routes = [{**route, "timeout_ms": TIMEOUT_MS} for route in (*ROUTES, probe)]
        await self.store.put("config", "main", manifest(self.version, routes=routes))
