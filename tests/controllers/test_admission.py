"""Tests of the admission controller against a model of an engine that restarts unannounced."""

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
    """Two routers and one engine, which may restart at any time.

    `open_requests` holds lists of the router's index, the ticket, and whether the first byte of
    the response has arrived. `polls` are reports on their way to a router.
    """

    now: float = 1000.0
    boot: int = 0
    booted_at: float = 0.0
    open_requests: list[list] = field(default_factory=list)
    load_history: list[tuple[float, int]] = field(default_factory=list)
    polls: list[tuple[int, LoadReported]] = field(default_factory=list)
    taken_over_at: float | None = None
    ownership_lost: bool = False
    chat_count: int = 0
    admitted: int = 0

    def __post_init__(self) -> None:
        self.routers = [make_router(OwnedTarget(TARGET, True), self.now), make_router(None, 0.0)]
        self.poll(0)
        self.deliver_reports()

    def lagging_load(self) -> int:
        """Return the engine's load that a report made now shows."""
        old = [load for at, load in self.load_history if at <= self.now - REPORT_LAG_S]
        return old[-1] if old else 0

    def record_load(self) -> None:
        self.load_history.append((self.now, len(self.open_requests)))

    def poll(self, router: int) -> None:
        report = LoadReport(str(self.boot), self.now - self.booted_at, self.lagging_load())
        self.polls.append((router, LoadReported("t", report, self.now)))

    def deliver_reports(self) -> None:
        while self.polls:
            router, reported = self.polls.pop(0)
            self.routers[router].handle(reported, self.now)

    def admit(self, router: int) -> None:
        self.chat_count += 1
        outcome = admit(
            self.routers[router], self.now, f"c-{self.chat_count}", f"team-{self.chat_count % 3}"
        )
        if outcome.is_error():
            return
        self.open_requests.append([router, outcome.ok, False])
        self.admitted += 1
        self.record_load()
        self.check()

    def check(self) -> None:
        for number, router in enumerate(self.routers):
            own = sum(request[0] == number for request in self.open_requests)
            assert all(digest.in_flight == own for digest in router.handle(GetDigests(), self.now))
        load = len(self.open_requests)
        mean = (PEER_LOAD + load) / (PEER_TARGETS + 1)
        assert load <= load_bound(POLICY, mean)
        if self.now - self.booted_at < POLICY.slow_start_s:
            assert load <= POLICY.cold_limit

    def receive_first_byte(self, router: int) -> None:
        for request in self.open_requests:
            if request[0] == router and not request[2]:
                request[2] = True
                self.routers[router].handle(FirstByteReceived(request[1], 0.1), self.now)
                return

    def end_request(self, router: int) -> None:
        own = [request for request in self.open_requests if request[0] == router]
        if own:
            self.open_requests.remove(own[0])
            self.routers[router].handle(ReleaseTicket(own[0][1]), self.now)
            self.record_load()

    def restart(self, _: int) -> None:
        broken, self.open_requests = self.open_requests, []
        self.boot += 1
        self.booted_at = self.now
        for router, ticket, _has_first_byte in broken:
            self.routers[router].handle(ReleaseTicket(ticket, failed=True), self.now)
        self.record_load()

    def take_over(self, _: int) -> None:
        """Make the second router an owner of the target while the first one still owns it."""
        if self.taken_over_at is None:
            self.taken_over_at = self.now
            owned = OwnedTarget(TARGET, True, previous_owner=FIRST)
            self.routers[1].handle(OwnedTargetsChanged((owned,)), self.now)
            self.poll(1)

    def request_release(self, _: int) -> None:
        """Let the second router query whether the first one has released the target."""
        response = self.routers[0].handle(GetReleasedTargets(("t",)), self.now)
        if self.routers[1].handle(GetPendingHandovers(), self.now):
            assert bool(response.released) is self.ownership_lost
            self.routers[1].handle(HandoverReported("first", response), self.now)

    def lose_ownership(self, _: int) -> None:
        """Let the first router learn of the second one; its open requests continue."""
        if self.taken_over_at is not None and not self.ownership_lost:
            self.ownership_lost = True
            self.routers[0].handle(OwnedTargetsChanged(()), self.now)

    def wait(self, tenths: int) -> None:
        """Advance the time by `tenths` tenths of a second; end an overdue takeover."""
        self.now += tenths / 10
        self.record_load()
        if self.taken_over_at is not None and self.now >= self.taken_over_at + TAKEOVER_S:
            self.lose_ownership(0)


STEPS = st.one_of(
    *(
        st.tuples(st.just(name), st.integers(0, 1))
        for name in (
            "admit",
            "admit",
            "admit",
            "receive_first_byte",
            "receive_first_byte",
            "end_request",
            "poll",
            "take_over",
            "lose_ownership",
            "request_release",
        )
    ),
    st.tuples(st.just("restart"), st.just(0)),
    st.tuples(st.just("deliver_reports"), st.just(None)),
    st.tuples(st.just("wait"), st.integers(1, 30)),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEPS, min_size=30, max_size=120))
def test_engine_never_exceeds_its_limits_with_two_owners_and_restarts(steps):
    model = Model()
    for name, argument in steps:
        step = getattr(model, name)
        step() if argument is None else step(argument)
        model.check()


def burst(model: Model, router: int, count: int = 40) -> int:
    for _ in range(count):
        model.admit(router)
    return sum(request[0] == router for request in model.open_requests)


def test_busy_target_is_filled_to_its_bound():
    model = Model()
    assert burst(model, 0) == POLICY.cold_limit
    model.receive_first_byte(0)
    model.wait(2)
    model.poll(0)
    model.deliver_reports()
    assert burst(model, 0) == 14  # ceil(1.25 * (40 + 14) / 5) = 14


def test_new_owner_waits_for_takeover_and_counts_requests_of_previous_owner():
    model = Model()
    burst(model, 0)
    model.take_over(0)
    model.deliver_reports()
    assert burst(model, 1) == 0
    model.wait(70)
    assert model.ownership_lost
    assert burst(model, 1) == 0
    model.poll(1)
    model.deliver_reports()
    assert burst(model, 1) == 0  # the previous owner's two requests fill the start limit
    model.end_request(0)
    model.end_request(0)
    model.wait(20)
    model.poll(1)
    model.deliver_reports()
    assert burst(model, 1) == POLICY.cold_limit


def test_release_by_previous_owner_ends_the_wait_and_counts_its_requests():
    model = Model()
    burst(model, 0)
    model.take_over(0)
    model.deliver_reports()
    model.request_release(0)
    assert burst(model, 1) == 0
    model.lose_ownership(0)
    model.request_release(0)
    assert model.routers[1].handle(GetPendingHandovers(), model.now) == ()
    assert burst(model, 1) == 0  # the first owner's two requests fill the start limit
    model.end_request(0)
    model.end_request(0)
    model.wait(11)
    model.poll(1)
    model.deliver_reports()
    assert burst(model, 1) == POLICY.cold_limit
    restarted = AdmissionController(ManualClock(), TAKEOVER_S)
    assert restarted.handle(GetReleasedTargets(("t",)), 0.0).released == ()


def test_ticket_can_be_released_only_once():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    ticket = admit(router, 0.0).ok
    router.handle(ReleaseTicket(ticket), 0.0)
    for msg in (ReleaseTicket(ticket), ReleaseTicket(99), FirstByteReceived(ticket, 0.1)):
        with pytest.raises(InvariantError):
            router.handle(msg, 0.0)


def test_target_that_is_not_owned_refuses_requests_and_releases_open_tickets():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    ticket = admit(router, 0.0).ok
    router.handle(OwnedTargetsChanged(()), 1.0)
    assert admit(router, 1.0).error.code is RefusalCode.NOT_OWNER
    assert router.handle(GetDigests(), 1.0) == ()
    router.handle(ReleaseTicket(ticket, failed=True), 2.0)
    router.handle(LoadPollFailed("t"), 2.0)
    router.handle(LoadReported("t", LoadReport("a", 1.0, 0), 2.0), 2.0)
    assert admit(router, 2.0).error.code is RefusalCode.NOT_OWNER


def test_digests_include_cold_targets_and_refusal_requests_a_poll():
    poll_requests: list[str] = []
    router = make_router(OwnedTarget(TARGET, False, joined=True), 0.0)
    router.handle(SubscribePollRequests(poll_requests.append), 0.0)
    outcomes = [admit(router, 5.0, f"c-{n}") for n in range(200)]
    assert sum(outcome.is_ok() for outcome in outcomes) == POLICY.cold_limit
    assert {o.error.code for o in outcomes if o.is_error()} == {RefusalCode.STARTING}
    assert all(o.error.retry_after_s for o in outcomes if o.is_error())
    assert router.handle(GetDigests(), 5.0) == (ServiceDigest("llm", 2, 1, 1, 2),)
    assert set(poll_requests) == {"t"}


def test_target_that_restarts_unannounced_stays_within_its_start_limit():
    model = Model()
    burst(model, 0)
    model.receive_first_byte(0)
    model.wait(2)
    model.poll(0)
    model.deliver_reports()
    burst(model, 0)
    model.restart(0)
    for _ in range(8):
        burst(model, 0)
        model.receive_first_byte(0)
        model.wait(10)
        model.poll(0)
        model.deliver_reports()
    assert len(model.open_requests) == POLICY.cold_limit
    model.wait(30)
    assert burst(model, 0) > POLICY.cold_limit


def test_plain_target_that_responds_after_a_failed_connection_is_cold():
    router = make_router(OwnedTarget(TARGET, False), 0.0)
    tickets = [outcome.ok for outcome in (admit(router, 0.0) for _ in range(20)) if outcome.is_ok()]
    assert len(tickets) > POLICY.cold_limit
    for ticket in tickets:
        router.handle(ReleaseTicket(ticket, failed=ticket == 1), 1.0)
    later_tickets = [
        outcome.ok for outcome in (admit(router, 1.0) for _ in range(20)) if outcome.is_ok()
    ]
    assert len(later_tickets) == POLICY.cold_limit
    router.handle(FirstByteReceived(later_tickets[0], 0.1), 1.0)
    assert router.handle(GetDigests(), 1.0)[0].cold == 1


def test_overlapping_requests_confirm_the_boot_between_polls():
    model = Model()
    burst(model, 0)
    model.receive_first_byte(0)
    model.wait(2)
    model.poll(0)
    model.deliver_reports()
    for _ in range(20):
        burst(model, 0)
        while not all(request[2] for request in model.open_requests):
            model.receive_first_byte(0)
        model.end_request(0)
        model.wait(3)
    assert burst(model, 0) == 14
    while model.open_requests:
        model.end_request(0)
    assert burst(model, 0) == POLICY.cold_limit


def test_dead_connections_to_an_earlier_boot_confirm_nothing():
    model = Model()
    burst(model, 0)
    model.receive_first_byte(0)
    model.wait(2)
    model.boot, model.booted_at = 1, model.now - 60.0
    model.poll(0)
    model.deliver_reports()
    assert burst(model, 0) == POLICY.cold_limit
