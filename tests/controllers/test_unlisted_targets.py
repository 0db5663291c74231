"""What is learnt of a target while it isn't listed holds when it is back in the same lifetime."""

from almondspindle.controllers.placement.messages import GetLoads
from almondspindle.core.placements import AttemptEnd
from tests.controllers.test_placement import (
    ask_pause,
    end_attempt,
    list_targets,
    make_controller,
    make_target,
    place,
)


def test_pause_asked_for_while_the_target_is_not_listed_holds_when_it_is_back():
    """Guards against requests to a target that was dark and asked for a pause on its return."""
    controller = make_controller(make_target("t0"), make_target("t1"))
    ticket = place(controller, key="part").ok.ticket
    paused = place(controller, key="part").ok.target
    other = make_target("t1" if paused == "t0" else "t0")
    list_targets(controller, other, now=2.0)
    ask_pause(controller, ticket, 9.0, now=3.0)
    list_targets(controller, make_target("t0"), make_target("t1"), now=4.0)
    for _ in range(4):
        assert place(controller, 4.1, key="part").ok.target == other.name


def test_requests_in_flight_count_when_a_target_is_listed_again_in_the_same_lifetime():
    """Guards against filling a target that still works on what it got before it was unlisted."""
    controller = make_controller(make_target("t0"))
    tickets = [place(controller).ok.ticket for _ in range(3)]
    list_targets(controller, now=2.0)
    list_targets(controller, now=2.5)
    list_targets(controller, make_target("t0"), now=3.0)
    assert controller.handle(GetLoads(), 3.1) == {"t0": 3}
    for ticket in tickets:
        end_attempt(controller, ticket, AttemptEnd.ANSWERED, 3.2)
    assert controller.handle(GetLoads(), 3.3) == {}
    place(controller, 3.4)
    list_targets(controller, now=4.0)
    list_targets(controller, make_target("t0", started_at_ms=9), now=5.0)
    assert controller.handle(GetLoads(), 5.1) == {}
