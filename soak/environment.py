"""The environment of the hosts: the store, and replicas behind proxies."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack

from soak.history import RunHistory
from soak.layout import Layout
from soak.proxy import Proxy
from soak.replicas import SoakReplica
from soak.timed_rules import DRAIN_S, EVACUATION_S, Exclusion, Span
from tests.standins.node_fleet import MODEL_SERVICE, PLAIN_SERVICE, ROUTES, manifest, replica_record
from tests.standins.object_store import ObjectStore

REPLICA_COUNTS = {MODEL_SERVICE: 4, PLAIN_SERVICE: 3}
WRITTEN_BY_OTHERS = ("config", "servers", "evacuations", "rollouts")  # kinds of objects
HTTP_UNAVAILABLE = 503
RENEWAL_INTERVAL_S = 1.0  # between two writes of an entry
COLD_S = 2.0  # after a replica has left and is back
VERSIONS = ("v1", "v2")  # of the replicas of each service, in turn
TIMEOUT_MS = 6000  # of all routes; a request may meet a silent replica, move, and meet another


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
