"""Burn rates and windows, compared with naive counts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.calls import WorkKind
from almondspindle.core.config import Objectives
from almondspindle.core.identifiers import ServiceName
from almondspindle.core.telemetry import RequestMeasurement, ServiceTally
from almondspindle.decisions.burn import Objective, burns_of
from almondspindle.decisions.rolling_windows import RollingWindow, WindowShape

SERVICE = ServiceName("forecast-llm")
SHAPE = WindowShape("test", 10.0, 3)

requests = st.builds(
    RequestMeasurement,
    st.just(SERVICE),
    st.sampled_from(list(WorkKind)),
    st.booleans(),
    st.none() | st.integers(1, 250),
    st.dictionaries(st.integers(1, 250), st.integers(1, 5), max_size=4),
)


def tally_of(measured: list[RequestMeasurement]) -> ServiceTally:
    tally = ServiceTally()
    for item in measured:
        tally.add(item)
    return tally


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(requests, max_size=20))
def test_burns_equal_naive_counts(measured):
    objectives = Objectives(first_token_s=0.1, between_tokens_s=0.05)
    burns = {burn.objective: burn for burn in burns_of(tally_of(measured), objectives)}
    slow = [m for m in measured if m.first_token_ms is not None and m.first_token_ms > 100]
    gaps = [g for m in measured for g, times in m.gaps_ms.items() for _ in range(times)]
    naive = {
        Objective.AVAILABILITY: (len(measured), sum(m.failed for m in measured)),
        Objective.FIRST_TOKEN: (sum(m.first_token_ms is not None for m in measured), len(slow)),
        Objective.BETWEEN_TOKENS: (len(gaps), sum(gap > 50 for gap in gaps)),
        Objective.COMMITS: (
            sum(m.work is WorkKind.COMMIT for m in measured),
            sum(m.work is WorkKind.COMMIT and m.failed for m in measured),
        ),
    }
    expected = {key: value for key, value in naive.items() if value[0]}
    assert {key: (burn.total, burn.bad) for key, burn in burns.items()} == expected


def test_burn_rate_is_one_at_the_allowed_share():
    tally = ServiceTally(requests=1000, failed=1)
    (burn,) = burns_of(tally, Objectives(availability=0.999))
    assert abs(burn.rate - 1.0) < 1e-9


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.floats(0.0, 200.0), max_size=30).map(sorted), st.floats(0.0, 60.0))
def test_window_total_covers_exactly_its_slots(times, later_s):
    window = RollingWindow(SHAPE)
    for at in times:
        window.add({SERVICE: ServiceTally(requests=1)}, at)
    now = (times[-1] if times else 0.0) + later_s
    oldest = int(now // SHAPE.slot_s) - SHAPE.slots + 1
    naive = sum(int(at // SHAPE.slot_s) >= oldest for at in times)
    total = window.total(now)
    assert (total[SERVICE].requests if total else 0) == naive
