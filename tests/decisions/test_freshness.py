"""When a host may claim ownership."""

import pytest

from almondspindle.decisions.freshness import OwnershipStatus, ViewFreshness

LIMIT_S = 4.0


def paused_view() -> ViewFreshness:
    view = ViewFreshness(0.0)
    view.tick(10.0, LIMIT_S)
    return view


CONTACTS = [
    (lambda view: view.record_list_read(10.0, 10.5), OwnershipStatus.OWNING),
    (lambda view: view.record_list_read(9.0, 10.5), OwnershipStatus.PAUSED),
    (lambda view: view.record_probe("a", True, 10.0), OwnershipStatus.OWNING),
    (lambda view: view.record_probe("a", True, 9.0), OwnershipStatus.PAUSED),
    (lambda view: view.record_probe("a", False, 10.0), OwnershipStatus.PAUSED),
]


@pytest.mark.parametrize(("make_contact", "expected"), CONTACTS)
def test_after_a_pause_only_contacts_requested_since_then_count(make_contact, expected):
    view = paused_view()
    make_contact(view)
    assert view.ownership_status(10.5, LIMIT_S) is expected


def test_a_pause_is_detected_before_the_next_tick():
    view = ViewFreshness(0.0)
    assert view.ownership_status(LIMIT_S, LIMIT_S) is OwnershipStatus.OWNING
    assert view.ownership_status(LIMIT_S + 0.1, LIMIT_S) is OwnershipStatus.PAUSED


PROBES = [
    ("abcd", "", None, OwnershipStatus.PARTITIONED),
    ("abcd", "", 9.0, OwnershipStatus.OWNING),
    ("abcd", "", 1.0, OwnershipStatus.PARTITIONED),
    ("ab", "cd", None, OwnershipStatus.OWNING),
    ("abc", "", None, OwnershipStatus.OWNING),
    ("ababab", "", None, OwnershipStatus.OWNING),
]


@pytest.mark.parametrize(("missed", "answered", "list_read_at", "expected"), PROBES)
def test_a_host_is_partitioned_if_most_probes_to_several_hosts_are_missed(
    missed, answered, list_read_at, expected
):
    view = ViewFreshness(10.0)
    for name in missed + answered:
        view.record_probe(name, name in answered, 9.0)
    if list_read_at is not None:
        view.record_list_read(list_read_at, list_read_at)
    assert view.ownership_status(10.0, LIMIT_S) is expected
