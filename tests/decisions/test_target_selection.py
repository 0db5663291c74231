"""Selection of the target for a request."""

from almondspindle.core.identifiers import TargetName, ZoneName
from almondspindle.core.placements import PlacementReason
from almondspindle.decisions.target_selection import (
    TargetCandidate,
    choose_target,
    load_cap,
    rank_targets,
)

ZONE = ZoneName("a")


def candidate(name: str, load: float = 0, **changes: object) -> TargetCandidate:
    values = {"zone": ZONE, "slots": 48, "is_healthy": True, "within_cold_rate": True, **changes}
    return TargetCandidate(name=TargetName(name), load=load, **values)  # type: ignore[arg-type]


def ranked(names: list[str], key: str = "part") -> list[TargetName]:
    return rank_targets([TargetName(name) for name in names], key)


def home_of(names: list[str], key: str) -> str:
    choice = choose_target(
        [candidate(name) for name in names], ranked(names, key), ZONE, "r", cap=100
    )
    assert choice is not None
    assert choice.reason is PlacementReason.HOME
    return choice.candidate.name


def test_requests_with_the_same_shared_part_go_to_the_same_target():
    names = [f"t{number}" for number in range(9)]
    assert home_of(names, "part") == home_of(list(reversed(names)), "part")


def test_only_the_prompts_of_a_removed_target_move():
    names = [f"t{number}" for number in range(9)]
    keys = [f"part-{number}" for number in range(200)]
    before = {key: home_of(names, key) for key in keys}
    after = {key: home_of(names[1:], key) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == names[0]}


def test_a_ranked_target_that_is_no_candidate_is_skipped():
    names = [f"t{number}" for number in range(4)]
    first, second, *_ = ranked(names)
    candidates = [candidate(name) for name in names if name != first]
    choice = choose_target(candidates, ranked(names), ZONE, "r", cap=100)
    assert choice is not None
    assert choice.candidate.name == second


def test_a_target_over_the_load_bound_is_skipped():
    names = [f"t{number}" for number in range(4)]
    home = home_of(names, "part")
    loaded = [candidate(name, load=40 if name == home else 4) for name in names]
    choice = choose_target(loaded, ranked(names), ZONE, "r", cap=100)
    assert choice is not None
    assert choice.candidate.name != home
    assert choice.reason is PlacementReason.SPILL


def test_a_target_over_the_load_cap_is_skipped_even_if_all_candidates_are_loaded():
    # Only two of ten targets receive requests, so the service's mean is far below theirs.
    loads = [12.0, 12.0, *[0.0] * 8]
    cap = load_cap(loads, cap_multiple=2.0)
    assert cap < 12.0
    candidates = [candidate("t0", 12), candidate("t1", 5)]
    choice = choose_target(candidates, ranked(["t0", "t1"]), ZONE, "r", cap)
    assert choice is not None
    assert choice.candidate.name == "t1"


def test_an_unhealthy_target_is_used_only_if_all_are_unhealthy():
    unhealthy = candidate("t0", is_healthy=False)
    choice = choose_target([unhealthy, candidate("t1", load=9)], [], ZONE, "r", cap=100)
    assert choice is not None
    assert choice.candidate.name == "t1"
    last = choose_target([unhealthy], [], ZONE, "r", cap=100)
    assert last is not None
    assert last.reason is PlacementReason.LAST_RESORT


def test_no_cold_target_is_chosen_beyond_its_rate():
    assert (
        choose_target([candidate("t0", within_cold_rate=False)], ranked(["t0"]), ZONE, "r", cap=100)
        is None
    )


def test_a_request_without_a_shared_prompt_goes_to_the_least_loaded_target_of_its_zone():
    candidates = [candidate("t0", 1, zone=ZoneName("b")), candidate("t1", 1), candidate("t2", 2)]
    choice = choose_target(candidates, [], ZONE, "r", cap=100)
    assert choice is not None
    assert choice.candidate.name == "t1"
