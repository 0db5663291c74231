"""The ring, compared with a naive scan, and its stability when targets are added or removed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.config import AvailabilityZone, ConfigSet
from almondspindle.decisions.ranking import (
    SPAN_MASK,
    MultiProbeRing,
    RendezvousScan,
    ring_points,
    ring_probes,
)
from almondspindle.decisions.region import is_same_region

NAMES = st.sets(st.integers(0, 200).map(lambda n: f"t-{n}"), max_size=40)
KEYS = st.text(min_size=1, max_size=12)


def naive_order(targets, key):
    """Rank by the shortest distance from any probe up to any point, by brute force."""

    def distance(target):
        pairs = ((p - q) & SPAN_MASK for p in ring_points(target) for q in ring_probes(key))
        return min(pairs)

    return sorted(targets, key=distance)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(NAMES, KEYS, st.integers(0, 45))
def test_the_ring_ranks_as_the_naive_scan(names, key, count):
    assert MultiProbeRing(names).rank(key, count) == naive_order(names, key)[:count]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(NAMES, st.lists(st.tuples(st.booleans(), st.integers(0, 200)), max_size=60), KEYS)
def test_the_order_depends_on_the_set_and_not_on_its_history(first, steps, key):
    ring, names = MultiProbeRing(first), set(first)
    for joins, number in steps:
        name = f"t-{number}"
        (ring.add if joins else ring.remove)(name)
        (names.add if joins else names.discard)(name)
    assert len(ring) == len(names)
    assert ring.rank(key, len(names)) == MultiProbeRing(sorted(names)).rank(key, len(names))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(NAMES.filter(len), KEYS, st.data())
def test_removing_a_target_keeps_the_order_of_the_others(names, key, data):
    removed = data.draw(st.sampled_from(sorted(names)))
    for make in (MultiProbeRing, lambda n: RendezvousScan(sorted(n))):
        before = make(names).rank(key, len(names))
        after = make(names - {removed}).rank(key, len(names))
        assert after == [name for name in before if name != removed]


def test_an_entry_stays_in_its_region_if_the_region_is_known():
    zones = {"a": "north", "b": "north", "c": "south"}
    config = ConfigSet(zones={z: AvailabilityZone(z, r) for z, r in zones.items()})
    cases = [("a", "b", True), ("a", "c", False), ("a", "new", True), ("new", "c", True)]
    assert all(is_same_region(config, own, zone) is want for own, zone, want in cases)
    assert is_same_region(config, None, "c")
