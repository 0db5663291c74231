"""The incremental owner table, compared with a naive scan."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.roster import Host, HostState, Roster, Target
from almondspindle.decisions.ownership import MoveReason, OwnerTable, owner_of

ZONES = ["a", "b", "c"]
HOSTS = [f"h{n}" for n in range(8)]
TARGETS = [f"t{n}" for n in range(20)]

hosts = st.dictionaries(
    st.sampled_from(HOSTS), st.tuples(st.sampled_from(ZONES), st.sampled_from(list(HostState)))
)
targets = st.dictionaries(st.sampled_from(TARGETS), st.sampled_from(ZONES))


def roster_of(host_map, target_map) -> Roster:
    return Roster(
        {name: Host(name, zone, "1:1", state) for name, (zone, state) in host_map.items()},
        {name: Target(name, "s", zone, "1:2") for name, zone in target_map.items()},
    )


def naive_owners(roster: Roster) -> dict[str, str | None]:
    found = {t.name: owner_of(t, roster.hosts.values()) for t in roster.targets.values()}
    return {name: owner.name if owner else None for name, owner in found.items()}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(hosts, targets), min_size=1, max_size=6))
def test_the_table_agrees_with_the_naive_scan_and_returns_each_move(steps):
    table, before = OwnerTable(), {}
    for host_map, target_map in steps:
        roster = roster_of(host_map, target_map)
        moves = table.apply(roster)
        after = naive_owners(roster)
        held = {name: table.owner(name) for name in TARGETS}
        assert {n: o.name if o else None for n, o in held.items() if n in after} == after
        assert all(held[name] is None for name in TARGETS if name not in after)
        changed = {n for n in before.keys() | after.keys() if before.get(n) != after.get(n)}
        assert {move.target for move in moves} == changed
        assert all(
            before.get(m.target) == m.before and after.get(m.target) == m.after for m in moves
        )
        for host in HOSTS:
            assert table.owned_by(host) == {n for n, o in after.items() if o == host}
        before = after


REASONS = [
    (HostState.DEAD, MoveReason.OWNER_DEAD),
    (HostState.LEAVING, MoveReason.OWNER_LEAVING),
    (HostState.DAMPED, MoveReason.OWNER_DAMPED),
    (None, MoveReason.OWNER_FORGOTTEN),
]


@pytest.mark.parametrize(("state", "reason"), REASONS)
def test_a_move_has_the_reason(state, reason):
    table = OwnerTable()
    names = {name: "a" for name in TARGETS}
    table.apply(roster_of({"h0": ("a", HostState.LIVE), "h1": ("a", HostState.LIVE)}, names))
    owned = table.owned_by("h0")
    left = {"h1": ("a", HostState.LIVE)} | ({"h0": ("a", state)} if state else {})
    moves = table.apply(roster_of(left, names))
    assert {move.target for move in moves} == owned != set()
    assert {move.reason for move in moves} == {reason}


def test_a_suspect_keeps_its_targets():
    table = OwnerTable()
    names = {name: "a" for name in TARGETS}
    table.apply(roster_of({"h0": ("a", HostState.LIVE), "h1": ("a", HostState.LIVE)}, names))
    assert (
        table.apply(roster_of({"h0": ("a", HostState.SUSPECT), "h1": ("a", HostState.LIVE)}, names))
        == []
    )
