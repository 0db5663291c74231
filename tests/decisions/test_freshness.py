"""When a host may claim ownership."""

import pytest

from almondspindle.decisions.freshness import Standing, ViewFreshness

LIMIT_S = 4.0


def paused() -> ViewFreshness:
    view = ViewFreshness(0.0)
    view.tick(10.0, LIMIT_S)
    return view


NEWS = [
    (lambda view: view.list_read(10.0, 10.5), Standing.OWNING),
    (lambda view: view.list_read(9.0, 10.5), Standing.PAUSED),
    (lambda view: view.probed("a", True, 10.0), Standing.OWNING),
    (lambda view: view.probed("a", True, 9.0), Standing.PAUSED),
    (lambda view: view.probed("a", False, 10.0), Standing.PAUSED),
]


@pytest.mark.parametrize(("hear", "standing"), NEWS)
def test_after_a_pause_only_news_that_were_asked_for_since_count(hear, standing):
    view = paused()
    hear(view)
    assert view.standing(10.5, LIMIT_S) is standing


def test_a_pause_shows_before_the_next_tick():
    view = ViewFreshness(0.0)
    assert view.standing(LIMIT_S, LIMIT_S) is Standing.OWNING
    assert view.standing(LIMIT_S + 0.1, LIMIT_S) is Standing.PAUSED


PROBES = [
    ("abcd", "", None, Standing.CUT_OFF),
    ("abcd", "", 9.0, Standing.OWNING),
    ("abcd", "", 1.0, Standing.CUT_OFF),
    ("ab", "cd", None, Standing.OWNING),
    ("abc", "", None, Standing.OWNING),
    ("ababab", "", None, Standing.OWNING),
]


@pytest.mark.parametrize(("missed", "answered", "list_read_at", "standing"), PROBES)
def test_a_host_is_cut_off_when_most_probes_to_several_hosts_are_missed(
    missed, answered, list_read_at, standing
):
    view = ViewFreshness(10.0)
    for name in missed + answered:
        view.probed(name, name in answered, 9.0)
    if list_read_at is not None:
        view.list_read(list_read_at, list_read_at)
    assert view.standing(10.0, LIMIT_S) is standing
