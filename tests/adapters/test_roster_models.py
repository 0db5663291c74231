"""The platform's list as it is decoded: strictly, entry by entry."""

import json

import pytest

from almondspindle.adapters.platform.models import parse_roster
from almondspindle.core.roster import Host, HostState, Target, TargetState

ROUTER = {"role": "router", "name": "h1", "zone": "a", "address": "127.0.0.1:1"}
TARGET = {"role": "target", "name": "t1", "service": "s", "zone": "a", "address": "127.0.0.1:2"}


def listed(*entries: object) -> bytes:
    """Return a list of `entries` as the platform sends it."""
    return json.dumps({"entries": entries, "of": "later versions"}).encode()


def test_entries_become_data_classes() -> None:
    """Equal names of zones are one object, as 11,000 entries repeat a few."""
    roster = parse_roster(listed(ROUTER, {**TARGET, "leaving": True}, {"new": 1, **TARGET})).ok
    assert roster.hosts == {"h1": Host("h1", "a", "127.0.0.1:1", HostState.LIVE)}
    assert roster.targets == {"t1": Target("t1", "s", "a", "127.0.0.1:2", TargetState.LIVE)}
    assert roster.hosts["h1"].zone is roster.targets["t1"].zone


WRONG = [
    (listed(ROUTER, {**ROUTER, "name": "No"}, {**TARGET, "zone": 3}), ("entries.1.", "entries.2.")),
    (listed({**TARGET, "name": "t1\n"}), ("entries.0.",)),
    (listed({**TARGET, "address": "127.0.0.1"}), ("entries.0.",)),
    (listed({**TARGET, "role": "other"}), ("entries.0:",)),
    (listed({key: TARGET[key] for key in ("role", "name", "zone", "address")}), ("service",)),
    (listed(None), ("entries.0",)),
    (b'{"entries": {}}', ("document",)),
    (b"{}", ("document",)),
    (b"[]", ("document",)),
    (b'{"entries": [', ("document",)),
    (b'{"entries": [{"role": "router\xff"}]}', ("entries.0",)),
    (b"", ("document",)),
]


@pytest.mark.parametrize(("value", "places"), WRONG)
def test_a_list_with_one_wrong_entry_is_refused_whole(value: bytes, places: tuple[str]) -> None:
    """The error tells each place that is wrong."""
    found = parse_roster(value)
    assert found.is_error()
    assert all(place in found.error for place in places), found.error
