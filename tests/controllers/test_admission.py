"""The admission controller against a model of an engine that restarts unannounced."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.controllers.admission.messages import (
    AdmissionConfigChanged,
    Admit,
    FirstByteReceived,
    GetDigests,
    GetPendingHandovers,
    GetReleasedTargets,
    HandoverReported,
    LoadPollFailed,
    LoadReported,
    OwnedTargetsChanged,
    PeerDigests,
    ReleaseTicket,
    SubscribePollRequests,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Policy, Service, ServiceKind
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.load import LoadReport, OwnedTarget
from almondspindle.core.outcomes import InvariantError, RefusalCode
from almondspindle.core.roster import Host, Target
from almondspindle.decisions.admission import REPORT_LAG_S, load_bound

POLICY = Policy(load_multiple=1.25, load_floor=4, cold_limit=2, slow_start_s=10.0, target_limit=30)
CONFIG = ConfigSet(1, services={"llm": Service("llm", ServiceKind.CHAT, POLICY)})
TARGET = Target("t", "llm", "z", "127.0.0.1:1")
TAKEOVER_S = 5.0
FIRST = Host("first", "z", "127.0.0.1:2")
PEER_LOAD, PEER_TARGETS = 40, 4


def make_router(owned: OwnedTarget | None, now: float) -> AdmissionController:
    router = AdmissionController(ManualClock(), TAKEOVER_S)
    router.handle(AdmissionConfigChanged(CONFIG), now)
    peers = {"peer": (ServiceDigest("llm", PEER_LOAD, PEER_TARGETS),)}
    router.handle(PeerDigests(peers), now)
    router.handle(OwnedTargetsChanged((owned,) if owned else ()), now)
    return router


def admit(router: AdmissionController, now: float, chat: str = "c", team: str = "a"):
    return router.handle(Admit("t", "llm", team, WorkKind.CHAT, chat), now)


@dataclass
class Model:
    """Two routers and one engine; `open` holds (router, ticket, whether the head came)."""

    now: float = 1000.0
    boot: int = 0
    booted_at: float = 0.0
    open: list[list] = field(default_factory=list)
    history: list[tuple[float, int]] = field(default_factory=list)
    polls: list[tuple[int, LoadReported]] = field(default_factory=list)
    taken_at: float | None = None
    dropped: bool = False
    chats: int = 0
    admitted: int = 0

    def __post_init__(self) -> None:
        self.routers = [make_router(OwnedTarget(TARGET, True), self.now), make_router(None, 0.0)]
        self.poll(0)
        self.deliver()

    def lagged(self) -> int:
        """Return the engine's load as it was when a report of now was made up."""
        old = [load for at, load in self.history if at <= self.now - REPORT_LAG_S]
        return old[-1] if old else 0

    def note(self) -> None:
        self.history.append((self.now, len(self.open)))

    def poll(self, router: int) -> None:
        report = LoadReport(str(self.boot), self.now - self.booted_at, self.lagged())
        self.polls.append((router, LoadReported("t", report, self.now)))

    def deliver(self) -> None:
        while self.polls:
            router, heard = self.polls.pop(0)
            self.routers[router].handle(heard, self.now)

    def admit(self, router: int) -> None:
        self.chats += 1
        outcome = admit(self.routers[router], self.now, f"c-{self.chats}", f"team-{self.chats % 3}")
        if outcome.is_error():
            return
        self.open.append([router, outcome.ok, False])
        self.admitted += 1
        self.note()
        self.check()

    def check(self) -> None:
        for number, router in enumerate(self.routers):
            own = sum(one[0] == number for one in self.open)
            assert all(digest.in_flight == own for digest in router.handle(GetDigests(), self.now))
        load = len(self.open)
        mean = (PEER_LOAD + load) / (PEER_TARGETS + 1)
        assert load <= load_bound(POLICY, mean)
        if self.now - self.booted_at < POLICY.slow_start_s:
            assert load <= POLICY.cold_limit

    def head(self, router: int) -> None:
        for one in self.open:
            if one[0] == router and not one[2]:
                one[2] = True
                self.routers[router].handle(FirstByteReceived(one[1], 0.1), self.now)
                return

    def end(self, router: int) -> None:
        mine = [one for one in self.open if one[0] == router]
        if mine:
            self.open.remove(mine[0])
            self.routers[router].handle(ReleaseTicket(mine[0][1]), self.now)
            self.note()

    def restart(self, _: int) -> None:
        broken, self.open = self.open, []
        self.boot += 1
        self.booted_at = self.now
        for router, ticket, _head in broken:
            self.routers[router].handle(ReleaseTicket(ticket, failed=True), self.now)
        self.note()

    def take(self, _: int) -> None:
        """The second router believes that it owns the target, while the first still does."""
        if self.taken_at is None:
            self.taken_at = self.now
            owned = OwnedTarget(TARGET, True, previous=FIRST)
            self.routers[1].handle(OwnedTargetsChanged((owned,)), self.now)
            self.poll(1)

    def ask(self, _: int) -> None:
        """The second router asks the first whether it has let go."""
        answer = self.routers[0].handle(GetReleasedTargets(("t",)), self.now)
        if self.routers[1].handle(GetPendingHandovers(), self.now):
            assert bool(answer.released) is self.dropped
            self.routers[1].handle(HandoverReported("first", answer), self.now)

    def drop(self, _: int) -> None:
        """The first router learns of the second; its open streams go on."""
        if self.taken_at is not None and not self.dropped:
            self.dropped = True
            self.routers[0].handle(OwnedTargetsChanged(()), self.now)

    def wait(self, tenths: int) -> None:
        self.now += tenths / 10
        self.note()
        if self.taken_at is not None and self.now >= self.taken_at + TAKEOVER_S:
            self.drop(0)


STEPS = st.one_of(
    *(
        st.tuples(st.just(name), st.integers(0, 1))
        for name in (
            "admit",
            "admit",
            "admit",
            "head",
            "head",
            "end",
            "poll",
            "take",
            "drop",
            "ask",
        )
    ),
    st.tuples(st.just("restart"), st.just(0)),
    st.tuples(st.just("deliver"), st.just(None)),
    st.tuples(st.just("wait"), st.integers(1, 30)),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEPS, min_size=30, max_size=120))
def test_no_engine_gets_more_than_it_bears_whoever_believes_to_own_it(steps):
    model = Model()
    for name, argument in steps:
        step = getattr(model, name)
        step() if argument is None else step(argument)
        model.check()


def burst(model: Model, router: int, count: int = 40) -> int:
    for _ in range(count):
        model.admit(router)
    return sum(one[0] == router for one in model.open)


def test_a_busy_target_is_filled_to_its_bound():
    model = Model()
    assert burst(model, 0) == POLICY.cold_limit
    model.head(0)
    model.wait(2)
    model.poll(0)
    model.deliver()
    assert burst(model, 0) == 14  # ceil(1.25 * (40 + 14) / 5) = 14


def test_a_new_owner_waits_for_the_old_one_and_counts_what_it_left():
    model = Model()
    burst(model, 0)
    model.take(0)
    model.deliver()
    assert burst(model, 1) == 0
    model.wait(70)
    assert model.dropped
    assert burst(model, 1) == 0
    model.poll(1)
    model.deliver()
    assert burst(model, 1) == 0  # the old owner's two streams fill the start limit
    model.end(0)
    model.end(0)
    model.wait(20)
    model.poll(1)
    model.deliver()
    assert burst(model, 1) == POLICY.cold_limit


def test_a_handover_ends_the_wait_and_counts_what_is_left():
    model = Model()
    burst(model, 0)
    model.take(0)
    model.deliver()
    model.ask(0)
    assert burst(model, 1) == 0
    model.drop(0)
    model.ask(0)
    assert model.routers[1].handle(GetPendingHandovers(), model.now) == ()
    assert burst(model, 1) == 0  # the first owner's two streams fill the start limit
    model.end(0)
    model.end(0)
    model.wait(11)
    model.poll(1)
    model.deliver()
    assert burst(model, 1) == POLICY.cold_limit
    starting = AdmissionController(ManualClock(), TAKEOVER_S)
    assert starting.handle(GetReleasedTargets(("t",)), 0.0).released == ()


def test_tickets_are_given_back_just_once():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    ticket = admit(router, 0.0).ok
    router.handle(ReleaseTicket(ticket), 0.0)
    for msg in (ReleaseTicket(ticket), ReleaseTicket(99), FirstByteReceived(ticket, 0.1)):
        with pytest.raises(InvariantError):
            router.handle(msg, 0.0)


def test_work_for_targets_that_are_not_owned_is_refused_and_open_work_is_released():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    ticket = admit(router, 0.0).ok
    router.handle(OwnedTargetsChanged(()), 1.0)
    assert admit(router, 1.0).error.code is RefusalCode.NOT_OWNER
    assert router.handle(GetDigests(), 1.0) == ()
    router.handle(ReleaseTicket(ticket, failed=True), 2.0)
    router.handle(LoadPollFailed("t"), 2.0)
    router.handle(LoadReported("t", LoadReport("a", 1.0, 0), 2.0), 2.0)
    assert admit(router, 2.0).error.code is RefusalCode.NOT_OWNER


def test_digests_tell_load_and_cold_targets_and_a_refusal_asks_for_a_report():
    wanted: list[str] = []
    router = make_router(OwnedTarget(TARGET, False, joined=True), 0.0)
    router.handle(SubscribePollRequests(wanted.append), 0.0)
    outcomes = [admit(router, 5.0, f"c-{n}") for n in range(200)]
    assert sum(outcome.is_ok() for outcome in outcomes) == POLICY.cold_limit
    assert {o.error.code for o in outcomes if o.is_error()} == {RefusalCode.STARTING}
    assert all(o.error.retry_after_s for o in outcomes if o.is_error())
    assert router.handle(GetDigests(), 5.0) == (ServiceDigest("llm", 2, 1, 1, 2),)
    assert set(wanted) == {"t"}


def test_a_target_that_restarts_unannounced_stays_within_its_start_limit():
    model = Model()
    burst(model, 0)
    model.head(0)
    model.wait(2)
    model.poll(0)
    model.deliver()
    burst(model, 0)
    model.restart(0)
    for _ in range(8):
        burst(model, 0)
        model.head(0)
        model.wait(10)
        model.poll(0)
        model.deliver()
    assert len(model.open) == POLICY.cold_limit
    model.wait(30)
    assert burst(model, 0) > POLICY.cold_limit


def test_a_plain_target_that_refused_and_then_accepted_is_cold():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    first = [outcome.ok for outcome in (admit(router, 0.0) for _ in range(20)) if outcome.is_ok()]
    assert len(first) > POLICY.cold_limit
    for ticket in first:
        router.handle(ReleaseTicket(ticket, failed=ticket == 1), 1.0)
    then = [outcome.ok for outcome in (admit(router, 1.0) for _ in range(20)) if outcome.is_ok()]
    assert len(then) == POLICY.cold_limit
    router.handle(FirstByteReceived(then[0], 0.1), 1.0)
    assert router.handle(GetDigests(), 1.0)[0].cold == 1


def test_requests_that_overlap_keep_a_target_proven_between_polls():
    model = Model()
    burst(model, 0)
    model.head(0)
    model.wait(2)
    model.poll(0)
    model.deliver()
    for _ in range(20):
        burst(model, 0)
        while not all(one[2] for one in model.open):
            model.head(0)
        model.end(0)
        model.wait(3)
    assert burst(model, 0) == 14
    while model.open:
        model.end(0)
    assert burst(model, 0) == POLICY.cold_limit


def test_silent_connections_to_an_earlier_boot_prove_nothing():
    model = Model()
    burst(model, 0)
    model.head(0)
    model.wait(2)
    model.boot, model.booted_at = 1, model.now - 60.0
    model.poll(0)
    model.deliver()
    assert burst(model, 0) == POLICY.cold_limit
