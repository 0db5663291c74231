"""Placing requests on targets."""

import pytest

from almondspindle.controllers.placement.messages import (
    AttemptEnded,
    GetFailures,
    GetLoads,
    PeerLoadsReported,
    SelectTarget,
)
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.view.messages import (
    HostsChanged,
    RoutesChanged,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import HostRecord, TargetRecord
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.outcomes import RefusalCode
from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.reports import AttemptCounts
from almondspindle.core.routes import Engine, RouteTable, ServiceSpec

SERVICE = ServiceName("s")
BOUNDS = Bounds(cold_rate_multiple=1.5, cold_slack=5.0, retry_ratio=0.2, retry_slack=10.0)
COLD_BOUND = 20.0 * 1.5 + 5


def cfg(host: str = "h0") -> NodeCfg:
    return NodeCfg(
        HostName(host), ZoneName("a"), "10.0.0.1", "", "", "", 7340, 7341, 4200, bounds=BOUNDS
    )


def target(name: str, **changes: object) -> TargetRecord:
    values = {
        "service": SERVICE,
        "address": f"10.1.0.{name[1:]}:80",
        "zone": ZoneName("a"),
        "slots": 48,
        "is_leaving": False,
        "cold_left_s": 0.0,
        **changes,
    }
    return TargetRecord(name=TargetName(name), **values)  # type: ignore[arg-type]


def controller(*records: TargetRecord, host: str = "h0", hosts: int = 1) -> PlacementController:
    found = PlacementController(cfg(host), ManualClock())
    spec = ServiceSpec(SERVICE, 100, 3.0, 20.0, Engine(48, 765_404, can_copy=True))
    found.handle(RoutesChanged(RouteTable(1, services={SERVICE: spec})), 0.0)
    names = [HostName(f"h{number}") for number in range(hosts)]
    found.handle(HostsChanged({n: HostRecord(n, "10.0.0.9:7340", ZoneName("a")) for n in names}), 0)
    found.handle(TargetsChanged({record.name: record for record in records}), 0.0)
    return found


def place(found: PlacementController, now: float = 1.0, key: str = "", **changes: object):
    return found.handle(SelectTarget(SERVICE, key, f"r-{now}", **changes), now)  # type: ignore[arg-type]


def end(found: PlacementController, ticket: int, end_: AttemptEnd, now: float = 1.0) -> None:
    found.handle(AttemptEnded(ticket, AttemptReport(end_, 200, started=True)), now)


@pytest.mark.parametrize(
    "record", [target("t0", is_leaving=True), target("t0", zone=ZoneName("b"))]
)
def test_leaving_targets_and_those_of_a_zone_that_is_out_get_nothing(record):
    found = controller(record)
    found.handle(ZonesChanged(frozenset({ZoneName("b")})), 0.0)
    assert place(found).error.code is RefusalCode.NO_TARGET


def test_requests_of_other_hosts_count_as_load():
    found = controller(target("t0"), target("t1"))
    home = place(found, key="part").ok
    end(found, home.ticket, AttemptEnd.ANSWERED)
    found.handle(PeerLoadsReported(HostName("h9"), {home.target: 40}), 1.0)
    assert place(found, now=1.1, key="part").ok.target != home.target
    # A report that is old says nothing of the load now.
    assert place(found, now=9.0, key="part").ok.target == home.target


def test_loads_are_counted_until_the_attempt_ends():
    found = controller(target("t0"))
    ticket = place(found).ok.ticket
    assert found.handle(GetLoads(), 1.0) == {"t0": 1}
    end(found, ticket, AttemptEnd.ABANDONED)
    end(found, ticket, AttemptEnd.ABANDONED)
    assert found.handle(GetLoads(), 1.0) == {}


def sent_within_a_second(controllers: list[PlacementController], at: float) -> int:
    return sum(place(found, at).is_ok() for found in controllers for _ in range(100))


@pytest.mark.parametrize("hosts", [1, 6, 91])
def test_a_cold_target_gets_no_more_than_its_bound_from_all_hosts(hosts):
    record = target("t0", cold_left_s=3.0)
    group = [controller(record, host=f"h{number}", hosts=hosts) for number in range(hosts)]
    assert 0 < sent_within_a_second(group, at=1.0) <= COLD_BOUND
    refusal = place(group[0], 1.1).error
    assert refusal.code is RefusalCode.STARTING and refusal.retry_after_s
    assert place(group[0], 3.1).is_ok()


def test_a_target_that_turns_cold_again_is_cold():
    found = controller(target("t0"))
    assert sent_within_a_second([found], at=1.0) == 100
    colder = target("t0", cold_left_s=2.0)
    found.handle(TargetsChanged({colder.name: colder}), 5.0)
    assert sent_within_a_second([found], at=5.1) <= COLD_BOUND


def test_the_targets_of_a_zone_that_returns_count_as_cold():
    found = controller(target("t0"))
    found.handle(ZonesChanged(frozenset({ZoneName("a")})), 1.0)
    found.handle(ZonesChanged(frozenset()), 5.0)
    assert sent_within_a_second([found], at=5.1) <= COLD_BOUND
    assert sent_within_a_second([found], at=8.2) == 100


def test_repeats_draw_on_a_budget_and_first_attempts_do_not():
    found = controller(target("t0"))
    made = [place(found, is_retry=True) for _ in range(20)]
    assert 0 < sum(outcome.is_ok() for outcome in made) <= 10
    assert place(found).is_ok()


def test_a_prompt_is_copied_from_the_target_that_read_it():
    found = controller(target("t0"), target("t1"), target("t2"))
    first = place(found, key="part").ok
    assert first.copy_from is not None  # another host may have had it read there
    end(found, first.ticket, AttemptEnd.ANSWERED)
    assert place(found, now=1.1, key="part").ok.copy_from is None
    other = place(found, now=1.2, key="part", tried_targets=(first.target,)).ok
    assert other.copy_from == first.address


def test_a_target_that_restarted_holds_nothing():
    found = controller(target("t0"), target("t1"))
    first = place(found, key="part").ok
    end(found, first.ticket, AttemptEnd.ANSWERED)
    records = {name: target(name, started_at_ms=7) for name in ("t0", "t1")}
    found.handle(TargetsChanged({record.name: record for record in records.values()}), 2.0)
    assert place(found, now=2.1, key="part").ok.copy_from is not None


def test_nothing_is_copied_from_a_target_that_has_failed():
    found = controller(target("t0"), target("t1"), target("t2"))
    first = place(found, key="part").ok
    end(found, first.ticket, AttemptEnd.ANSWERED)
    end(found, place(found, now=1.1, key="part").ok.ticket, AttemptEnd.CONNECTION_BROKEN, now=1.2)
    other = place(found, now=9.0, key="part", tried_targets=(first.target,)).ok
    assert other.copy_from != first.address


def leave(found: PlacementController, name: TargetName, now: float) -> None:
    records = [target(other) for other in ("t0", "t1", "t2") if other != name]
    found.handle(TargetsChanged({record.name: record for record in records}), now)


def test_a_prompt_is_copied_from_a_target_that_left_while_it_still_serves():
    found = controller(target("t0"), target("t1"), target("t2"))
    first = place(found, key="part").ok
    end(found, first.ticket, AttemptEnd.ANSWERED)
    leave(found, first.target, now=1.5)
    other = place(found, now=1.6, key="part").ok
    assert other.target != first.target
    assert other.copy_from == first.address
    later = place(found, now=1.6 + BOUNDS.drain_s, key="part").ok
    assert later.copy_from != first.address


def test_nothing_is_copied_from_a_target_that_was_silent_before_it_left():
    found = controller(target("t0"), target("t1"), target("t2"))
    first = place(found, key="part").ok
    end(found, first.ticket, AttemptEnd.ANSWERED)
    leave(found, first.target, now=5.0)
    assert place(found, now=5.1, key="part").ok.copy_from != first.address


def test_nothing_is_copied_from_a_target_that_is_gone_after_its_notice():
    found = controller(target("t0"), target("t1"), target("t2"))
    first = place(found, key="part").ok
    leaving = {name: target(name, is_leaving=name == first.target) for name in ("t0", "t1", "t2")}
    found.handle(TargetsChanged({record.name: record for record in leaving.values()}), 1.1)
    end(found, first.ticket, AttemptEnd.ANSWERED, now=3.0)
    leave(found, first.target, now=3.1)
    assert place(found, now=3.2, key="part").ok.copy_from != first.address


def answer(found: PlacementController, ticket: int, status: int, now: float) -> None:
    found.handle(AttemptEnded(ticket, AttemptReport(AttemptEnd.ANSWERED, status)), now)


def test_a_target_that_answers_with_errors_is_avoided_for_a_while():
    found = controller(target("t0"), target("t1"))
    first = place(found, key="part").ok
    answer(found, first.ticket, 500, now=1.0)
    for _ in range(3):
        again = place(found, now=1.0, key="part").ok
        assert again.target == first.target
        answer(found, again.ticket, 500, now=1.0)
    assert place(found, now=1.1, key="part").ok.target != first.target
    assert place(found, now=9.0, key="part").ok.target == first.target


def test_errors_that_other_hosts_saw_count():
    found = controller(target("t0"), target("t1"))
    first = place(found, key="part").ok
    failures = {first.target: AttemptCounts(attempts=6, errors=2)}
    for number in (1, 2):
        found.handle(PeerLoadsReported(HostName(f"h{number}"), {}, failures), 1.0)
    assert place(found, now=1.1, key="part").ok.target != first.target


def test_the_end_of_a_requests_own_time_is_no_error_of_the_target():
    found = controller(target("t0"), target("t1"))
    first = place(found, key="part").ok
    for _ in range(10):
        answer(found, place(found, now=1.0, key="part").ok.ticket, 504, now=1.0)
    assert place(found, now=1.1, key="part").ok.target == first.target


def test_errors_are_told_to_the_other_hosts():
    found = controller(target("t0"), target("t1"))
    ticket = place(found).ok
    answer(found, ticket.ticket, 500, now=1.0)
    assert found.handle(GetFailures(), 1.1) == {ticket.target: AttemptCounts(1, 1)}
