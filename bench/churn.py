"""A deterministic simulation of chats while targets leave, join and restart.

The admission controller and the ranking are the production code. Engines, chats and the times of
load reports are simulated. All ways to order the targets run under the same admission.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from almondspindle.controllers.admission.messages import (
    AdmissionConfigChanged,
    Admit,
    FirstByteReceived,
    GetDigests,
    LoadReported,
    OwnedTargetsChanged,
    ReleaseTicket,
    SubscribePollRequests,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Policy, Service, ServiceKind
from almondspindle.core.load import LoadReport, OwnedTarget
from almondspindle.core.roster import Target
from almondspindle.decisions.admission import load_bound, sum_digests
from almondspindle.decisions.ranking import MultiProbeRing

TARGETS = 24
CHATS = 2000
TURNS = 10
THINK_S = 20.0
HIT_FIRST_BYTE_S = 0.1
MISS_FIRST_BYTE_S = 0.5
STREAM_S = 1.5
CACHE_CHATS = 150
POLL_INTERVAL_S = 8.0
POLL_DELAY_S = 0.01
COLD_CAPACITY = 3  # requests in flight that a cold engine can serve without overload
COLD_S = 10.0  # time for which an engine is cold after its boot
DURATION_S = 180.0
CHURN_START_S = 60.0
LEAVE_INTERVAL_S = 20.0
ABSENCE_S = 12.0
RESTART_INTERVAL_S = 17.0
CANDIDATES = 6
OLD_BOOT_S = -1000.0


@dataclass
class Engine:
    """A simulated engine. Its cache holds the prefixes of the last `CACHE_CHATS` chats."""

    name: str
    boot: int = 0
    booted_at: float = OLD_BOOT_S
    is_listed: bool = True
    open_turns: dict[int, "Turn"] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def is_cold(self, now: float) -> bool:
        """Return whether the engine is still cold after its boot."""
        return now - self.booted_at < COLD_S

    def cache_prefix(self, chat: int) -> bool:
        """Put the prefix of a chat into the cache; return whether it was there before."""
        hit = chat in self.cache
        self.cache[chat] = None
        self.cache.move_to_end(chat)
        if len(self.cache) > CACHE_CHATS:
            self.cache.popitem(last=False)
        return hit


@dataclass(frozen=True)
class Turn:
    """One turn of a chat; number 0 is its first."""

    chat: int
    number: int


@dataclass
class RunCounts:
    """The counts of a run, and its highest load of a target over the mean."""

    later_turns: int = 0
    cache_hits: int = 0
    refused: int = 0
    cold_overloads: int = 0
    max_over_mean: float = 0.0
    over_bound: int = 0


TargetOrder = Callable[["ChurnSimulation", int], list[str]]


class ChurnSimulation:
    """One run with one way to order the targets of a chat, `order`, and one service policy."""

    def __init__(self, order: TargetOrder, policy: Policy) -> None:
        self.order = order
        self.policy = policy
        self.random = Random(5)
        self.now = 0.0
        self.counts = RunCounts()
        self.engines = {f"t{n}": Engine(f"t{n}") for n in range(TARGETS)}
        self.ring = MultiProbeRing(self.engines)
        self.turn_count = 0
        self._numbers = count()
        self._chat_numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._pending_polls: set[str] = set()
        self._admission = AdmissionController(ManualClock(), takeover_s=0.0)
        service = Service("llm", ServiceKind.CHAT, policy)
        self._handle(AdmissionConfigChanged(ConfigSet(1, services={"llm": service})))
        self._handle(SubscribePollRequests(self._poll_soon))
        self._update_owned(joined="")

    def run(self) -> RunCounts:
        """Run the simulation and return its counts."""
        for number, name in enumerate(self.engines):
            self._schedule(
                number * POLL_INTERVAL_S / TARGETS, lambda name=name: self._poll(name, again=True)
            )
        for _ in range(CHATS):
            self._schedule_new_chat(self.random.uniform(POLL_INTERVAL_S, POLL_INTERVAL_S + THINK_S))
        self._schedule(CHURN_START_S, lambda: self._leave(0))
        self._schedule(CHURN_START_S + RESTART_INTERVAL_S / 2, lambda: self._restart(5))
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, event = heappop(self._events)
            event()
        return self.counts

    def listed_targets(self) -> list[str]:
        """Return the names of the targets on the list."""
        return [name for name, engine in self.engines.items() if engine.is_listed]

    def admit(self, name: str, chat: int) -> int | None:
        """Request admission for `chat` at target `name`; return the ticket, or None if refused."""
        request = Admit(name, "llm", f"team-{chat % 10}", WorkKind.CHAT, f"chat-{chat}")
        outcome = self._handle(request)
        return outcome.ok if outcome.is_ok() else None

    def _handle(self, msg: object):
        return self._admission.handle(msg, self.now)

    def _schedule(self, after_s: float, event: Callable[[], None]) -> None:
        heappush(self._events, (self.now + after_s, next(self._numbers), event))

    def _update_owned(self, joined: str) -> None:
        owned = (
            OwnedTarget(Target(name, "llm", "z", name), answers_polls=True, joined=name == joined)
            for name in self.listed_targets()
        )
        self._handle(OwnedTargetsChanged(tuple(owned)))

    def _schedule_new_chat(self, after_s: float) -> None:
        chat = next(self._chat_numbers)
        self._schedule(after_s, lambda: self._begin_turn(Turn(chat, 0)))

    def _begin_turn(self, turn: Turn) -> None:
        self.turn_count += 1
        for name in self.order(self, turn.chat)[:CANDIDATES]:
            ticket = self.admit(name, turn.chat)
            if ticket is not None:
                self._serve(self.engines[name], ticket, turn)
                return
        self.counts.refused += 1
        self._schedule_next(turn)

    def _serve(self, engine: Engine, ticket: int, turn: Turn) -> None:
        engine.open_turns[ticket] = turn
        hit = engine.cache_prefix(turn.chat)
        if self.now >= CHURN_START_S:
            self._count_turn(engine, turn, hit)
        first_byte_s = HIT_FIRST_BYTE_S if hit else MISS_FIRST_BYTE_S
        self._schedule(first_byte_s, lambda: self._receive_first_byte(engine, ticket, first_byte_s))
        self._schedule(first_byte_s + STREAM_S, lambda: self._end_turn(engine, ticket))

    def _count_turn(self, engine: Engine, turn: Turn, hit: bool) -> None:
        self.counts.later_turns += turn.number > 0
        self.counts.cache_hits += hit and turn.number > 0
        if engine.is_cold(self.now) and len(engine.open_turns) > COLD_CAPACITY:
            self.counts.cold_overloads += 1
        [digest] = self._handle(GetDigests())
        load = sum_digests([digest])
        if len(engine.open_turns) > load_bound(self.policy, load.in_flight / load.warm_targets):
            self.counts.over_bound += 1
        warm = [e for e in self.engines.values() if e.is_listed and not e.is_cold(self.now)]
        mean = sum(len(e.open_turns) for e in warm) / len(warm)
        self.counts.max_over_mean = max(self.counts.max_over_mean, len(engine.open_turns) / mean)

    def _receive_first_byte(self, engine: Engine, ticket: int, first_byte_s: float) -> None:
        if ticket in engine.open_turns:
            self._handle(FirstByteReceived(ticket, first_byte_s))

    def _end_turn(self, engine: Engine, ticket: int) -> None:
        turn = engine.open_turns.pop(ticket, None)
        if turn is not None:
            self._handle(ReleaseTicket(ticket))
            self._schedule_next(turn)

    def _schedule_next(self, turn: Turn) -> None:
        if turn.number + 1 == TURNS:
            self._schedule_new_chat(self.random.expovariate(1 / THINK_S))
            return
        following = Turn(turn.chat, turn.number + 1)
        self._schedule(self.random.expovariate(1 / THINK_S), lambda: self._begin_turn(following))

    def _poll_soon(self, name: str) -> None:
        if name not in self._pending_polls:
            self._pending_polls.add(name)
            self._schedule(POLL_DELAY_S, lambda: self._poll(name, again=False))

    def _poll(self, name: str, again: bool) -> None:
        self._pending_polls.discard(name)
        engine = self.engines[name]
        if engine.is_listed:
            report = LoadReport(
                str(engine.boot), self.now - engine.booted_at, len(engine.open_turns)
            )
            self._handle(LoadReported(name, report, self.now))
        if again:
            self._schedule(POLL_INTERVAL_S, lambda: self._poll(name, again=True))

    def _boot(self, engine: Engine) -> None:
        engine.boot += 1
        engine.booted_at = self.now
        engine.cache.clear()
        broken, engine.open_turns = engine.open_turns, {}
        for ticket, turn in broken.items():
            self._handle(ReleaseTicket(ticket, failed=True))
            self._schedule(0.0, lambda turn=turn: self._begin_turn(turn))

    def _leave(self, number: int) -> None:
        engine = self.engines[f"t{number % TARGETS}"]
        engine.is_listed = False
        self.ring.remove(engine.name)
        self._update_owned(joined="")
        self._schedule(ABSENCE_S, lambda: self._join(engine))
        self._schedule(LEAVE_INTERVAL_S, lambda: self._leave(number + 7))

    def _join(self, engine: Engine) -> None:
        engine.is_listed = True
        self.ring.add(engine.name)
        self._boot(engine)
        self._update_owned(joined=engine.name)
        self._poll_soon(engine.name)

    def _restart(self, number: int) -> None:
        engine = self.engines[f"t{number % TARGETS}"]
        if engine.is_listed:
            self._boot(engine)
        self._schedule(RESTART_INTERVAL_S, lambda: self._restart(number + 7))


def ranking_order(simulation: ChurnSimulation, chat: int) -> list[str]:
    """Return the targets in the order of the production ranking."""
    return simulation.ring.rank(f"chat-{chat}", CANDIDATES)


def round_robin(simulation: ChurnSimulation, chat: int) -> list[str]:
    """Return the targets in rotation, starting one further for each turn."""
    names = simulation.listed_targets()
    start = simulation.turn_count % len(names)
    return names[start:] + names[:start]


def plain_hash(simulation: ChurnSimulation, chat: int) -> list[str]:
    """Return the targets, starting with a hash of the chat modulo the number of targets."""
    names = simulation.listed_targets()
    start = Random(chat).randrange(1 << 30) % len(names)
    return names[start:] + names[:start]


def best_possible(simulation: ChurnSimulation, chat: int) -> list[str]:
    """Return the targets with the chat's prefix first; equal ones by their load in ascending order.

    No router has this information. The reuse with this order is the best possible.
    """

    def rank(name: str) -> tuple[bool, int]:
        engine = simulation.engines[name]
        return chat not in engine.cache, len(engine.open_turns)

    return sorted(simulation.listed_targets(), key=rank)
