"""Entries and routers in one process with an in-memory store, blocked by tests at named steps.

The claim filter, the terminals, the controllers and the writer are the real ones. The connections
to peers and targets are fakes that a test blocks, breaks and kills.
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
from almondspindle.controllers.claims.settlement import SettlementController, SettlementSender
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
        """Stop the router immediately. Calls to it fail."""
        self.is_dead = True
        for task in self.tasks:
            task.cancel()


class FakeLink:
    """Call the routers in order until one replies, as an entry does.

    The steps are "claim", "claimed" and "settle".
    """

    def __init__(self, routers: list[Router]) -> None:
        self.routers = routers
        self.gates = Gates()
        self.try_timeout_s = 1.0

    async def claim(self, claim: ClaimRequest, deadline_at: float) -> ClaimReply:
        """Return the reply to `claim`."""
        await self.gates.step("claim")
        reply = await self._request(claim)
        await self.gates.step("claimed")
        return reply

    async def settle(self, settle: SettleRequest) -> ClaimReply:
        """Return the reply to `settle`."""
        await self.gates.step("settle")
        return await self._request(settle)

    async def _request(self, operation: ClaimRequest | SettleRequest | LookupRequest) -> ClaimReply:
        last_reply = ClaimReply(ClaimDecision.UNAVAILABLE, reason="no router")
        for router in self.routers:
            reply = await self._request_from(router, operation)
            if reply is not None and reply.decision is not ClaimDecision.UNAVAILABLE:
                return reply
            last_reply = reply or last_reply
        return last_reply

    async def _request_from(self, router: Router, operation: object) -> ClaimReply | None:
        if router.is_dead:
            return None
        call = asyncio.ensure_future(router.methods.decide(operation))  # type: ignore[arg-type]
        death = asyncio.ensure_future(_ended(router.tasks[0]))
        await asyncio.wait({call, death}, timeout=self.try_timeout_s, return_when="FIRST_COMPLETED")
        death.cancel()
        if call.done():
            return call.result()
        call.cancel()
        return None


async def _ended(task: asyncio.Task) -> None:
    await asyncio.wait({task})


@dataclass
class FakeOwner:
    """A client for the owners of the plain service, which counts the runs of each key.

    The steps are "send" and "ran". The numbers are counts of further calls: `refuse` of those
    refused, `break_before` and `break_after` of those whose connection breaks before or after the
    run, and `raise_after` of those that raise after the run.
    """

    runs: Counter[str]
    refuse: int = 0
    break_before: int = 0
    break_after: int = 0
    raise_after: int = 0
    body: bytes = b"done"
    gates: Gates = field(default_factory=Gates)

    async def relay(self, call: Call, candidate: Candidate, sink) -> Completion:
        """Run `call`, subject to the faults."""
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
    """The response to a caller, and the number of runs of its key at that time."""

    completion: Completion
    parts: list
    runs: int

    @property
    def outcome(self) -> str:
        """Return "ok", "replayed", or the run state of the refusal."""
        if self.completion.refusal is not None:
            return self.completion.refusal.run_state.value
        replayed = ("Idempotent-Replayed", "true") in self.parts[0].headers
        return "replayed" if replayed else "ok"

    @property
    def is_false_not_run(self) -> bool:
        """Return whether the response claims "not run" although the work has run."""
        return self.outcome == RunState.NOT_RUN.value and self.runs > 0


class ListSink:
    """Collect the parts of a response.

    Writing after the caller has left raises, as it does in an HTTP handler.
    """

    def __init__(self) -> None:
        self.parts: list = []
        self.is_closed = False

    async def write(self, part) -> None:
        """Append `part`."""
        if self.is_closed:
            raise RuntimeError("write after the caller left")
        self.parts.append(part)


class Entry:
    """The filter chain of an entry, with its controllers."""

    def __init__(self, name: str, cluster: "Cluster", routers: list[Router]) -> None:
        self.cluster = cluster
        self.link = FakeLink(routers)
        self.owner = FakeOwner(cluster.runs)
        clock = SystemClock()
        self.settlements = SettlementController(clock)
        config = ConfigurationController(clock)
        config.send(ConfigReceived(CONFIG))
        claim = ClaimKey(self.link, self.settlements, config, name, clock, NullMetrics())
        retries = RetriesController(clock)
        relay = RelayToOwner(self.owner, retries, clock, NullMetrics())
        self.settle = SettleClaim(Chain((TwoCandidates(),), relay, clock), self.settlements, name)
        self.chain = Chain((RequireKey(), claim), self.settle, clock)
        sender = SettlementSender(self.link, self.settlements)
        loops = (config.run(), self.settlements.run(), sender.run(), retries.run())
        self.tasks = [asyncio.ensure_future(c) for c in loops]

    def start(self, key: str, body: bytes = b"{}", **changes) -> "asyncio.Task[Response]":
        """Start a commit with `key`; `changes` override fields of the call."""
        return asyncio.ensure_future(self.send(key, body, **changes))

    async def send(self, key: str, body: bytes = b"{}", **changes) -> Response:
        """Send a commit with `key` and return the response."""
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
        response = Response(finished, sink.parts, self.cluster.runs[key])
        self.cluster.responses.append(response)
        return response

    async def wait_settled(self) -> None:
        """Wait until the outcomes of all attempts are recorded."""
        await self.settle.wait_idle()
        await self.settlements.wait_idle(DEADLINE_S)

    def kill(self) -> None:
        """Stop the entry immediately. Outcomes that it has not recorded yet are lost."""
        self.link.routers = []
        for task in (*self.tasks, *self.settle._tasks):
            task.cancel()


class Cluster:
    """Two entries and two routers, as an asynchronous context manager."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.runs: Counter[str] = Counter()
        self.responses: list[Response] = []

    async def __aenter__(self) -> "Cluster":
        self._start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for process in (*self.entries, *self.routers):
            process.kill()
        tasks = [t for process in (*self.entries, *self.routers) for t in process.tasks]
        await asyncio.gather(*tasks, return_exceptions=True)

    def replace_fleet(self) -> None:
        """Kill all entries and routers, and start new ones with the same store."""
        for process in (*self.entries, *self.routers):
            process.kill()
        self._start()

    def _start(self) -> None:
        self.routers = [Router(GatedPlatform(self.objects)) for _ in range(2)]
        self.entries = [Entry(f"entry-{n}", self, self.routers) for n in range(2)]
        for router in self.routers:
            router.start()

    @property
    def duplicated_key_count(self) -> int:
        """Return how many keys ran more than once."""
        return sum(count > 1 for count in self.runs.values())

    @property
    def false_not_run_count(self) -> int:
        """Return how many responses claimed "not run" for work that had run."""
        return sum(response.is_false_not_run for response in self.responses)
