"""Test the selection of targets for requests."""

import pytest

from almondspindle.controllers.placement.messages import (
    AttemptEnded,
    GetFailures,
    GetLeavingNews,
    GetLoads,
    MayProbe,
    PeerLeavingReported,
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
from almondspindle.core.outcomes import RefusalCode, RunState
from almondspindle.core.placements import (
    AttemptEnd,
    AttemptReport,
    RequestedPause,
    TargetLife,
    TargetNotice,
)
from almondspindle.core.reports import AttemptCounts
from almondspindle.core.routes import Engine, RouteTable, ServiceSpec

SERVICE = ServiceName("s")
BOUNDS = Bounds(cold_rate_multiple=1.5, cold_slack=5.0, retry_ratio=0.2, retry_slack=10.0)
COLD_BOUND = 20.0 * 1.5 + 5


def make_cfg(host: str = "h0") -> NodeCfg:
    return NodeCfg(
        HostName(host), ZoneName("a"), "10.0.0.1", "", "", "", 7340, 7341, 4200, bounds=BOUNDS
    )


def make_target(name: str, **changes: object) -> TargetRecord:
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


def make_controller(
    *records: TargetRecord, host: str = "h0", hosts: int = 1
) -> PlacementController:
    controller = PlacementController(make_cfg(host), ManualClock())
    spec = ServiceSpec(SERVICE, 100, 3.0, 20.0, Engine(48, 765_404, can_copy=True))
    controller.handle(RoutesChanged(RouteTable(1, services={SERVICE: spec})), 0.0)
    names = [HostName(f"h{number}") for number in range(hosts)]
    controller.handle(
        HostsChanged({n: HostRecord(n, "10.0.0.9:7340", ZoneName("a")) for n in names}), 0
    )
    controller.handle(TargetsChanged({record.name: record for record in records}), 0.0)
    return controller


def place(controller: PlacementController, now: float = 1.0, key: str = "", **changes: object):
    return controller.handle(SelectTarget(SERVICE, key, f"r-{now}", **changes), now)  # type: ignore[arg-type]


def end_attempt(
    controller: PlacementController, ticket: int, end: AttemptEnd, now: float = 1.0
) -> None:
    controller.handle(AttemptEnded(ticket, AttemptReport(end, 200, started=True)), now)


@pytest.mark.parametrize(
    "record", [make_target("t0", is_leaving=True), make_target("t0", zone=ZoneName("b"))]
)
def test_leaving_targets_and_targets_of_excluded_zones_get_no_requests(record):
    controller = make_controller(record)
    controller.handle(ZonesChanged(frozenset({ZoneName("b")})), 0.0)
    assert place(controller).error.code is RefusalCode.NO_TARGET


def test_load_includes_requests_of_other_hosts():
    controller = make_controller(make_target("t0"), make_target("t1"))
    home = place(controller, key="part").ok
    end_attempt(controller, home.ticket, AttemptEnd.ANSWERED)
    controller.handle(PeerLoadsReported(HostName("h9"), {home.target: 40}), 1.0)
    assert place(controller, now=1.1, key="part").ok.target != home.target
    # By then, the report is too old to count.
    assert place(controller, now=9.0, key="part").ok.target == home.target


def test_attempt_counts_as_load_until_it_ends():
    controller = make_controller(make_target("t0"))
    ticket = place(controller).ok.ticket
    assert controller.handle(GetLoads(), 1.0) == {"t0": 1}
    end_attempt(controller, ticket, AttemptEnd.ABANDONED)
    end_attempt(controller, ticket, AttemptEnd.ABANDONED)
    assert controller.handle(GetLoads(), 1.0) == {}


def count_placed(controllers: list[PlacementController], at: float) -> int:
    return sum(place(controller, at).is_ok() for controller in controllers for _ in range(100))


@pytest.mark.parametrize("hosts", [1, 6, 91])
def test_all_hosts_together_stay_within_the_rate_of_a_cold_target(hosts):
    record = make_target("t0", cold_left_s=3.0)
    controllers = [
        make_controller(record, host=f"h{number}", hosts=hosts) for number in range(hosts)
    ]
    assert 0 < count_placed(controllers, at=1.0) <= COLD_BOUND
    refusal = place(controllers[0], 1.1).error
    assert refusal.code is RefusalCode.STARTING and refusal.retry_after_s
    assert place(controllers[0], 3.1).is_ok()


def test_target_that_reports_cold_time_again_is_cold_again():
    controller = make_controller(make_target("t0"))
    assert count_placed([controller], at=1.0) == 100
    colder = make_target("t0", cold_left_s=2.0)
    controller.handle(TargetsChanged({colder.name: colder}), 5.0)
    assert count_placed([controller], at=5.1) <= COLD_BOUND


def test_targets_of_a_zone_that_is_no_longer_excluded_are_cold():
    controller = make_controller(make_target("t0"))
    controller.handle(ZonesChanged(frozenset({ZoneName("a")})), 1.0)
    controller.handle(ZonesChanged(frozenset()), 5.0)
    assert count_placed([controller], at=5.1) <= COLD_BOUND
    assert count_placed([controller], at=8.2) == 100


def test_retries_are_limited_by_a_budget_and_first_attempts_are_not():
    controller = make_controller(make_target("t0"))
    outcomes = [place(controller, is_retry=True) for _ in range(20)]
    assert 0 < sum(outcome.is_ok() for outcome in outcomes) <= 10
    assert place(controller).is_ok()


def test_prompt_is_copied_from_the_target_that_has_it():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    assert first.copy_from is not None  # requests of other hosts may have put it there
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    assert place(controller, now=1.1, key="part").ok.copy_from is None
    other = place(controller, now=1.2, key="part", tried_targets=(first.target,)).ok
    assert other.copy_from == first.address


def test_restarted_target_has_no_prompts():
    controller = make_controller(make_target("t0"), make_target("t1"))
    first = place(controller, key="part").ok
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    records = {name: make_target(name, started_at_ms=7) for name in ("t0", "t1")}
    controller.handle(TargetsChanged({record.name: record for record in records.values()}), 2.0)
    assert place(controller, now=2.1, key="part").ok.copy_from is not None


def test_prompt_is_not_copied_from_a_target_that_failed():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    end_attempt(
        controller,
        place(controller, now=1.1, key="part").ok.ticket,
        AttemptEnd.CONNECTION_BROKEN,
        now=1.2,
    )
    other = place(controller, now=9.0, key="part", tried_targets=(first.target,)).ok
    assert other.copy_from != first.address


def remove_target(controller: PlacementController, name: TargetName, now: float) -> None:
    records = [make_target(other) for other in ("t0", "t1", "t2") if other != name]
    controller.handle(TargetsChanged({record.name: record for record in records}), now)


def test_prompt_is_copied_from_an_unlisted_target_during_its_drain_time():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    remove_target(controller, first.target, now=1.5)
    other = place(controller, now=1.6, key="part").ok
    assert other.target != first.target
    assert other.copy_from == first.address
    later = place(controller, now=1.6 + BOUNDS.drain_s, key="part").ok
    assert later.copy_from != first.address


def test_prompt_is_not_copied_from_an_unlisted_target_without_recent_responses():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    remove_target(controller, first.target, now=5.0)
    assert place(controller, now=5.1, key="part").ok.copy_from != first.address


def test_prompt_is_not_copied_from_an_unlisted_target_that_had_announced_its_leaving():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    leaving = {
        name: make_target(name, is_leaving=name == first.target) for name in ("t0", "t1", "t2")
    }
    controller.handle(TargetsChanged({record.name: record for record in leaving.values()}), 1.1)
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED, now=3.0)
    remove_target(controller, first.target, now=3.1)
    assert place(controller, now=3.2, key="part").ok.copy_from != first.address


def respond(controller: PlacementController, ticket: int, status: int, now: float) -> None:
    controller.handle(AttemptEnded(ticket, AttemptReport(AttemptEnd.ANSWERED, status)), now)


def test_target_with_many_error_responses_is_ejected_for_some_time():
    controller = make_controller(make_target("t0"), make_target("t1"))
    first = place(controller, key="part").ok
    respond(controller, first.ticket, 500, now=1.0)
    for _ in range(3):
        again = place(controller, now=1.0, key="part").ok
        assert again.target == first.target
        respond(controller, again.ticket, 500, now=1.0)
    assert place(controller, now=1.1, key="part").ok.target != first.target
    assert place(controller, now=9.0, key="part").ok.target == first.target


def test_errors_reported_by_other_hosts_count():
    controller = make_controller(make_target("t0"), make_target("t1"))
    first = place(controller, key="part").ok
    failures = {first.target: AttemptCounts(attempts=6, errors=2)}
    for number in (1, 2):
        controller.handle(PeerLoadsReported(HostName(f"h{number}"), {}, failures), 1.0)
    assert place(controller, now=1.1, key="part").ok.target != first.target


def test_expiry_of_a_requests_deadline_does_not_count_as_error_of_the_target():
    controller = make_controller(make_target("t0"), make_target("t1"))
    first = place(controller, key="part").ok
    for _ in range(10):
        respond(controller, place(controller, now=1.0, key="part").ok.ticket, 504, now=1.0)
    assert place(controller, now=1.1, key="part").ok.target == first.target


def test_errors_are_reported_to_other_hosts():
    controller = make_controller(make_target("t0"), make_target("t1"))
    placement = place(controller).ok
    respond(controller, placement.ticket, 500, now=1.0)
    assert controller.handle(GetFailures(), 1.1) == {placement.target: AttemptCounts(1, 1)}


def hear_leaving(controller: PlacementController, ticket: int, now: float, **changes) -> None:
    controller.handle(TargetNotice(ticket, is_leaving=True, **changes), now)


def list_targets(controller: PlacementController, *records: TargetRecord, now: float) -> None:
    controller.handle(TargetsChanged({record.name: record for record in records}), now)


def test_target_that_says_it_is_leaving_gets_no_requests_until_it_starts_again():
    controller = make_controller(make_target("t0"))
    placement = place(controller).ok
    hear_leaving(controller, placement.ticket, now=1.0)
    assert place(controller, 1.1).error.code is RefusalCode.NO_TARGET
    list_targets(controller, make_target("t0", slots=9), now=5.0)
    assert place(controller, 99.0).error.code is RefusalCode.NO_TARGET
    list_targets(controller, now=100.0)
    list_targets(controller, make_target("t0"), now=101.0)
    assert place(controller, 102.0).error.code is RefusalCode.NO_TARGET
    list_targets(controller, make_target("t0", started_at_ms=7), now=103.0)
    assert place(controller, 104.0).is_ok()


def test_refusal_when_all_targets_are_leaving_says_that_the_request_has_not_run():
    controller = make_controller(make_target("t0"), make_target("t1"))
    for _ in range(2):
        hear_leaving(controller, place(controller).ok.ticket, now=1.0)
    refusal = place(controller, 1.1).error
    assert refusal.run_state is RunState.NOT_RUN and refusal.retry_after_s


def test_misdirected_response_does_not_take_out_the_expected_target():
    controller = make_controller(make_target("t0"))
    ticket = place(controller).ok.ticket
    hear_leaving(controller, ticket, 1.0, is_misdirected=True, instance=TargetName("t9"))
    hear_leaving(controller, ticket, 1.0, is_misdirected=True)
    assert place(controller, 1.1).is_ok()
    newcomer = make_target("t9", address="10.1.0.0:80")
    list_targets(controller, newcomer, now=2.0)
    assert place(controller, 2.1).error.code is RefusalCode.NO_TARGET


def test_leaving_that_a_peer_reports_counts_only_for_the_start_it_names():
    controller = make_controller(make_target("t0", started_at_ms=5))
    life = TargetLife(TargetName("t0"), "10.1.0.0:80", 4)
    controller.handle(PeerLeavingReported(HostName("h9"), (life,)), 1.0)
    assert place(controller, 1.1).is_ok()
    life = TargetLife(TargetName("t0"), "10.1.0.0:80", 5)
    controller.handle(PeerLeavingReported(HostName("h9"), (life,)), 1.2)
    assert place(controller, 1.3).error.code is RefusalCode.NO_TARGET
    assert life in controller.handle(GetLeavingNews(), 1.4)


def test_prompt_is_copied_from_a_leaving_target_only_while_it_serves():
    controller = make_controller(make_target("t0"), make_target("t1"), make_target("t2"))
    first = place(controller, key="part").ok
    hear_leaving(controller, first.ticket, now=1.0)
    end_attempt(controller, first.ticket, AttemptEnd.ANSWERED)
    other = place(controller, now=1.1, key="part").ok
    assert other.target != first.target and other.copy_from == first.address
    later = place(controller, now=1.0 + BOUNDS.drain_s, key="part").ok
    assert later.copy_from != first.address


def test_attempts_at_a_leaving_target_still_count_as_load():
    controller = make_controller(make_target("t0"))
    placement = place(controller).ok
    hear_leaving(controller, placement.ticket, now=1.0)
    assert controller.handle(GetLoads(), 1.1) == {"t0": 1}
    end_attempt(controller, placement.ticket, AttemptEnd.ANSWERED)
    assert controller.handle(GetLoads(), 1.2) == {}


def ask_pause(
    controller: PlacementController, ticket: int, seconds: float | None, now: float = 1.0
) -> None:
    controller.handle(TargetNotice(ticket, pause=RequestedPause("x", seconds)), now)
    end_attempt(controller, ticket, AttemptEnd.REJECTED, now)


@pytest.mark.parametrize("changes", [{}, {"is_retry": True}, {"key": "part"}])
def test_paused_target_gets_nothing_until_the_end_of_its_pause(changes):
    controller = make_controller(make_target("t0"), make_target("t1"))
    first = place(controller, key="part").ok
    ask_pause(controller, first.ticket, 3.0)
    for now in (1.0, 2.0, 3.9):
        for _ in range(2):
            placement = place(controller, now, **changes).ok
            assert placement.target != first.target
            end_attempt(controller, placement.ticket, AttemptEnd.ANSWERED, now)
    assert place(controller, 4.0, key="part").ok.target == first.target


def test_shorter_pause_does_not_end_a_longer_one():
    controller = make_controller(make_target("t0"))
    tickets = [place(controller).ok.ticket for _ in range(2)]
    ask_pause(controller, tickets[0], 3.0, now=1.0)
    ask_pause(controller, tickets[1], 0.5, now=1.1)
    assert place(controller, 3.9).is_error()
    assert place(controller, 4.0).is_ok()


def test_callers_learn_when_the_first_pause_ends():
    controller = make_controller(make_target("t0"), make_target("t1"))
    for seconds in (9.0, 4.0):
        ask_pause(controller, place(controller).ok.ticket, seconds)
    refusal = place(controller, 2.0).error
    assert (refusal.code, refusal.run_state) == (RefusalCode.TARGETS_PAUSED, RunState.NOT_RUN)
    assert 3.0 <= refusal.retry_after_s <= 5.0
    assert place(controller, 5.0).is_ok()


def test_pause_outlasts_an_absence_from_the_list_and_ends_with_a_new_start():
    controller = make_controller(make_target("t0"))
    ask_pause(controller, place(controller).ok.ticket, 9.0)
    list_targets(controller, now=2.0)
    list_targets(controller, make_target("t0"), now=3.0)
    assert place(controller, 3.1).is_error()
    list_targets(controller, make_target("t0", started_at_ms=7), now=4.0)
    assert place(controller, 4.1).is_ok()


def test_paused_target_is_not_probed():
    controller = make_controller(make_target("t0"))
    first, second = (place(controller).ok.ticket for _ in range(2))
    assert controller.handle(MayProbe(first), 1.0)
    ask_pause(controller, second, 3.0)
    assert not controller.handle(MayProbe(first), 1.1)
    assert controller.handle(MayProbe(first), 4.0)


@pytest.mark.parametrize("seconds", [None, -1.0, 0.0])
def test_pause_without_a_length_is_ignored(seconds):
    controller = make_controller(make_target("t0"))
    ask_pause(controller, place(controller).ok.ticket, seconds)
    assert place(controller, 1.1).is_ok()


def test_pause_of_another_target_at_the_address_does_not_pause_the_expected_one():
    controller = make_controller(make_target("t0"))
    ticket = place(controller).ok.ticket
    pause = RequestedPause("9", 9.0)
    controller.handle(TargetNotice(ticket, TargetName("t9"), pause=pause), 1.0)
    assert place(controller, 1.1).is_ok()


def test_pauses_do_not_push_the_others_beyond_the_load_cap():
    controller = make_controller(*(make_target(f"t{number}") for number in range(5)))
    for _ in range(4):
        ask_pause(controller, place(controller).ok.ticket, 9.0)
    loads = []
    for _ in range(60):
        placed = place(controller, 2.0)
        loads.append(placed.ok.load if placed.is_ok() else 0)
    cap = 2.0 * max(loads) / 5 + 3
    assert 0 < max(loads) <= cap
    refusal = place(controller, 2.0).error
    assert refusal.code is RefusalCode.TARGETS_PAUSED and refusal.retry_after_s <= 1.0
    assert place(controller, 10.1).is_ok()
