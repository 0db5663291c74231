"""Precedence of changes in the target list."""

from almondspindle.core.members import TargetEntry
from almondspindle.core.roster import Target, TargetState
from almondspindle.decisions.target_list import TargetList, target_checksum

A = Target("a", "s", "z", "1:1")
B = Target("b", "s", "z", "1:2")
A_LEAVING = Target("a", "s", "z", "1:1", TargetState.LEAVING)


def test_an_older_list_does_not_undo_changes_received_from_others():
    targets = TargetList()
    targets.apply_list({"a": A}, 1)
    targets.merge([TargetEntry("a", A_LEAVING, 5), TargetEntry("b", B, 5)])
    assert targets.apply_list({"a": A}, 6) == []
    assert targets.targets == {"a": A_LEAVING, "b": B}


def test_the_higher_stamp_wins_and_identical_records_are_ignored():
    targets = TargetList()
    targets.apply_list({"a": A}, 3)
    assert targets.merge([TargetEntry("a", None, 2), TargetEntry("a", A, 9)]) == []
    applied = targets.merge([TargetEntry("a", None, 4)])
    assert [record.target for record in applied] == [None]
    assert targets.merge([TargetEntry("a", A, 3)]) == []
    assert targets.targets == {}


def test_changes_by_a_host_whose_clock_is_behind_are_applied():
    targets, others = TargetList(), TargetList()
    for each in (targets, others):
        each.apply_list({"a": A}, 1)
        each.merge([TargetEntry("b", B, 10**9)])
    applied = targets.replace_all({"a": A}, 2)
    assert targets.targets == {"a": A}
    assert others.merge(applied) == applied


def test_the_number_of_tombstones_is_bounded():
    targets = TargetList()
    for number in range(5_000):
        targets.merge([TargetEntry("a", A if number % 2 else A_LEAVING, number + 1)])
        targets.merge([TargetEntry(f"x{number}", B, number)])
        targets.merge([TargetEntry(f"x{number}", None, number + 1)])
    assert len(targets.stamps) < 2_000
    assert targets.stamps["a"] == 5_000


def test_the_checksum_matches_the_targets():
    targets = TargetList()
    assert targets.checksum == 0
    targets.apply_list({"a": A, "b": B}, 1)
    assert targets.checksum == target_checksum(A) ^ target_checksum(B)
    targets.apply_list({"a": A_LEAVING}, 2)
    assert targets.checksum == target_checksum(A_LEAVING)
