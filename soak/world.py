"""What the hosts run against: the store, and replicas behind proxies."""

import asyncio
import random
import zlib
from contextlib import AsyncExitStack

from soak.ledger import Arrived, Ledger
from soak.proxy import Proxy
from tests.standins import replica as r
from tests.standins.node_fleet import MODEL_SERVICE, PLAIN_SERVICE, ROUTES, manifest, replica_record
from tests.standins.object_store import ObjectStore
from tests.standins.replica import ReceivedRequest, Replica, ScriptedResponse

REPLICAS = {MODEL_SERVICE: 4, PLAIN_SERVICE: 3}
PIECE_PAUSE_S = 0.03  # between the events of a stream
WORK_S = 0.02
ERROR_SHARE = 0.02
REJECTED_SHARE = 0.02
BROKEN_SHARE = 0.02  # answers that end early or never come


def stream_length(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return 3 + zlib.crc32(request_id.encode()) % 20


def stream_body(request_id: str) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(r.event(number) for number in range(1, stream_length(request_id) + 1))


class SoakReplica(Replica):
    """A replica that takes time, fails at times, and notes what it runs."""

    def __init__(self, name: str, ledger: Ledger, rng: random.Random) -> None:
        super().__init__(self._behave)
        self.name = name
        self._ledger = ledger
        self._rng = rng

    def _behave(self, asked: ReceivedRequest) -> ScriptedResponse:
        expected = asked.headers.get("x-expect-instance", "")
        is_other, chance = expected != self.name, self._rng.random()
        is_rejected = chance < REJECTED_SHARE
        self._ledger.arrived.append(
            Arrived(
                asked.request_id,
                self.name,
                expected,
                asked.headers.get("x-tenant", ""),
                "x-api-key" in asked.headers,
                runs=not is_other and not is_rejected,
            )
        )
        if is_other:
            return r.misdirected(asked)
        if is_rejected:
            return r.rejected(asked)
        return self._answer_to(asked, chance - REJECTED_SHARE)

    def _answer_to(self, asked: ReceivedRequest, chance: float) -> ScriptedResponse:
        if "/stream/" in asked.path:
            script = r.stream(asked, last=stream_length(asked.request_id))
        else:
            script = r.complete_response(asked, asked.request_id.encode())
        if chance < ERROR_SHARE:
            return r.complete_response(asked, b"failed", "500 Internal Server Error")
        if chance < ERROR_SHARE + BROKEN_SHARE:
            self._ledger.broken_off.add(asked.request_id)
            kept = script.pieces[: len(script.pieces) // 2]
            return ScriptedResponse(kept, self._rng.choice(["reset", "close"]))
        return script

    async def _respond(
        self, script: ScriptedResponse, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(WORK_S)
        for piece in script.pieces[:-1]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        return await super()._respond(
            ScriptedResponse(script.pieces[-1:], script.then), reader, writer
        )


class World:
    """The store and the replicas of one run."""

    def __init__(self, ledger: Ledger, rng: random.Random) -> None:
        self.store = ObjectStore()
        self.version = 0
        self.replicas: dict[str, tuple[str, SoakReplica, Proxy]] = {}
        self._ledger = ledger
        self._rng = rng
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "World":
        await self._stack.enter_async_context(self.store)
        for service, count in REPLICAS.items():
            for number in range(count):
                await self._add(service, f"{service}-{number}")
        await self.change_manifest()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def _add(self, service: str, name: str) -> None:
        replica = SoakReplica(name, self._ledger, self._rng)
        await self._stack.enter_async_context(replica)
        proxy = await self._stack.enter_async_context(Proxy(replica.address))
        self.replicas[name] = (service, replica, proxy)
        await self.register(name)

    async def register(self, name: str, state: str = "ready") -> None:
        """Write a replica's entry."""
        service, replica, proxy = self.replicas[name]
        spec = replica_record(replica, service, addr=proxy.address, slots=48, state=state)
        await self.store.put("servers", name, spec)

    async def change_manifest(self) -> None:
        """Put the next configuration into force; only it has the route of its version."""
        self.version += 1
        probe = {**ROUTES[4], "name": "probe", "prefix": f"/probe-{self.version}/"}
        await self.store.put("config", "main", manifest(self.version, routes=[*ROUTES, probe]))
