"""Entries and routers in one process before a store in memory, with stops at named steps.

The claim filter, the terminals, the controllers and the writer are the real ones; the peer and
target connections are fakes that a test stops, breaks and kills.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from almondspindle.adapters.platform.base import StoredObject
from almondspindle.chain.base import Chain
from almondspindle.chain.claim import ClaimKey
from almondspindle.chain.relay import RelayToOwner
from almondspindle.chain.require_key import RequireKey
from almondspindle.chain.settle import SettleClaim
from almondspindle.controllers.claims.methods import ClaimsMethods
from almondspindle.controllers.claims.settler import SettlementController, SettlementSender
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.controllers.claims.writer import SegmentWriter
from almondspindle.controllers.configuration.messages import ConfigReceived
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.retries.task import RetriesController
from almondspindle.core.calls import (
    Call,
    Candidate,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    WorkKind,
)
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimReply,
    ClaimRequest,
    LookupRequest,
    SettleRequest,
)
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet, Service, ServiceKind, Team
from almondspindle.core.metrics import NullMetrics
from almondspindle.core.outcomes import Ok, Refusal, RefusalCode, RunState
from tests.standins.gated_platform import GatedPlatform, Gates

DEADLINE_S = 10.0
CANDIDATES = tuple(Candidate(f"dispatch-{n}", f"host-{n}", "owner") for n in range(2))
CONFIG = ConfigSet(
    1,
    {"grid-desk": Team("grid-desk", "0" * 64), "rival": Team("rival", "1" * 64)},
    {"dispatch-app": Service("dispatch-app", ServiceKind.PLAIN)},
)


@dataclass
class Router:
    """The claims part of a router."""

    platform: GatedPlatform
    is_dead: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)

    def start(self) -> None:
        """Start the controller and the writer."""
        clock = SystemClock()
        controller = ClaimsController(clock)
        writer = SegmentWriter(self.platform, controller, clock, NullMetrics())
        self.methods = ClaimsMethods(controller)
        self.tasks = [asyncio.ensure_future(c) for c in (controller.run(), writer.run())]

    def kill(self) -> None:
        """End the router at once; calls to it fail."""
        self.is_dead = True
        for task in self.tasks:
            task.cancel()


class FakeLink:
    """Ask the routers in order, as an entry does; a call to a dead router fails.

    The steps are "claim", "claimed" and "settle".
    """

    def __init__(self, routers: list[Router]) -> None:
        self.routers = routers
        self.gates = Gates()
        self.try_timeout_s = 1.0

    async def claim(self, claim: ClaimRequest, deadline_at: float) -> ClaimReply:
        """Return the decision on `claim`."""
        await self.gates.step("claim")
        reply = await self._request(claim)
        await self.gates.step("claimed")
        return reply

    async def settle(self, settle: SettleRequest) -> ClaimReply:
        """Have `settle` recorded."""
        await self.gates.step("settle")
        return await self._request(settle)

    async def _request(self, change: ClaimRequest | SettleRequest | LookupRequest) -> ClaimReply:
        last = ClaimReply(ClaimDecision.UNAVAILABLE, reason="no router")
        for router in self.routers:
            reply = await self._request_from(router, change)
            if reply is not None and reply.decision is not ClaimDecision.UNAVAILABLE:
                return reply
            last = reply or last
        return last

    async def _request_from(self, router: Router, change: object) -> ClaimReply | None:
        if router.is_dead:
            return None
        asked = asyncio.ensure_future(router.methods.decide(change))  # type: ignore[arg-type]
        died = asyncio.ensure_future(_ended(router.tasks[0]))
        await asyncio.wait({asked, died}, timeout=self.try_timeout_s, return_when="FIRST_COMPLETED")
        died.cancel()
        if asked.done():
            return asked.result()
        asked.cancel()
        return None


async def _ended(task: asyncio.Task) -> None:
    await asyncio.wait({task})


@dataclass
class FakeOwner:
    """The way to the plain service: counts runs per key; the steps are "send" and "ran"."""

    runs: Counter[str]
    refuse: int = 0
    break_before: int = 0
    break_after: int = 0
    raise_after: int = 0
    body: bytes = b"done"
    gates: Gates = field(default_factory=Gates)

    async def relay(self, call: Call, candidate: Candidate, sink) -> Completion:
        """Run the work of `call`, as the faults say."""
        await self.gates.step("send")
        if self.refuse:
            self.refuse -= 1
            return _refused(RefusalCode.FULL, RunState.NOT_RUN)
        if self.break_before:
            self.break_before -= 1
            return _refused(RefusalCode.PEER_UNREACHABLE, RunState.UNKNOWN)
        self.runs[call.idempotency_key or ""] += 1
        await self.gates.step("ran")
        if self.raise_after:
            self.raise_after -= 1
            raise ConnectionResetError("fault")
        if self.break_after:
            self.break_after -= 1
            return _refused(RefusalCode.PEER_UNREACHABLE, RunState.UNKNOWN)
        await sink.write(ResponseHead(200, (("Content-Type", "text/plain"),), candidate.target))
        await sink.write(ResponseChunk(self.body))
        await sink.write(ResponseEnd())
        return Completion(True)


def _refused(code: RefusalCode, run_state: RunState) -> Completion:
    return Completion(False, Refusal(code, "fault", run_state))


class TwoCandidates:
    """A filter that ranks two targets."""

    async def apply(self, call: Call, now: float):
        """Return the call with its candidates."""
        return Ok(call.copy_with(candidates=CANDIDATES))


@dataclass
class Response:
    """What a caller got, and the runs of its key when it got it."""

    finished: Completion
    parts: list
    runs: int

    @property
    def outcome(self) -> str:
        """Return "ok", "replayed", or the run state of the refusal."""
        if self.finished.refusal is not None:
            return self.finished.refusal.run_state.value
        replayed = ("Idempotent-Replayed", "true") in self.parts[0].headers
        return "replayed" if replayed else "ok"

    @property
    def is_false_not_run(self) -> bool:
        """Return whether the answer says that the work did not run although it did."""
        return self.outcome == RunState.NOT_RUN.value and self.runs > 0


class ListSink:
    """Keep the parts of an answer. Like an HTTP handler, it must not be written to once left."""

    def __init__(self) -> None:
        self.parts: list = []
        self.is_closed = False

    async def write(self, part) -> None:
        """Keep `part`."""
        if self.is_closed:
            raise RuntimeError("written to after the caller left")
        self.parts.append(part)


class Entry:
    """The chain of an entry."""

    def __init__(self, name: str, cluster: "Cluster", routers: list[Router]) -> None:
        self.cluster = cluster
        self.link = FakeLink(routers)
        self.owner = FakeOwner(cluster.runs)
        clock = SystemClock()
        self.settler = SettlementController(clock)
        config = ConfigurationController(clock)
        config.send(ConfigReceived(CONFIG))
        claim = ClaimKey(self.link, self.settler, config, name, clock, NullMetrics())
        retries = RetriesController(clock)
        relay = RelayToOwner(self.owner, retries, clock, NullMetrics())
        self.settle = SettleClaim(Chain((TwoCandidates(),), relay, clock), self.settler, name)
        self.chain = Chain((RequireKey(), claim), self.settle, clock)
        sender = SettlementSender(self.link, self.settler)
        loops = (config.run(), self.settler.run(), sender.run(), retries.run())
        self.tasks = [asyncio.ensure_future(c) for c in loops]

    def start(self, key: str, body: bytes = b"{}", **changes) -> "asyncio.Task[Response]":
        """Start a commit under `key`; `changes` are fields of the call."""
        return asyncio.ensure_future(self.send(key, body, **changes))

    async def send(self, key: str, body: bytes = b"{}", **changes) -> Response:
        """Send a commit under `key` and return what came back."""
        call = Call(
            request_id="r",
            deadline_at=SystemClock().monotonic() + DEADLINE_S,
            method="POST",
            path="/services/dispatch-app/orders",
            headers=(("Idempotency-Key", key),),
            body=body,
            team="grid-desk",
            service="dispatch-app",
            target_path="/orders",
            work=WorkKind.COMMIT,
        )
        sink = ListSink()
        try:
            finished = await self.chain.run(call.copy_with(**changes), sink)
        except asyncio.CancelledError:
            sink.is_closed = True
            raise
        answer = Response(finished, sink.parts, self.cluster.runs[key])
        self.cluster.responses.append(answer)
        return answer

    async def wait_settled(self) -> None:
        """Wait until every ending is recorded."""
        await self.settle.wait_idle()
        await self.settler.wait_idle(DEADLINE_S)

    def kill(self) -> None:
        """End the entry at once: what it has not told the store by now is never told."""
        self.link.routers = []
        for task in (*self.tasks, *self.settle._tasks):
            task.cancel()


class Cluster:
    """Two entries and two routers. Use as an async context manager."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.runs: Counter[str] = Counter()
        self.responses: list[Response] = []

    async def __aenter__(self) -> "Cluster":
        self._start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for owner in (*self.entries, *self.routers):
            owner.kill()
        tasks = [t for owner in (*self.entries, *self.routers) for t in owner.tasks]
        await asyncio.gather(*tasks, return_exceptions=True)

    def replace_fleet(self) -> None:
        """Kill every entry and router, and start new ones before the same store."""
        for owner in (*self.entries, *self.routers):
            owner.kill()
        self._start()

    def _start(self) -> None:
        self.routers = [Router(GatedPlatform(self.objects)) for _ in range(2)]
        self.entries = [Entry(f"entry-{n}", self, self.routers) for n in range(2)]
        for router in self.routers:
            router.start()

    @property
    def duplicated_keys(self) -> int:
        """Return how many keys ran more than once."""
        return sum(count > 1 for count in self.runs.values())

    @property
    def false_not_run(self) -> int:
        """Return how many answers said "not run" of work that had run."""
        return sum(answer.is_false_not_run for answer in self.responses)
