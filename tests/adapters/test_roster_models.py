"""Tests of the validation of the platform's host list."""

import json

import pytest

from almondspindle.adapters.platform.models import parse_roster
from almondspindle.core.roster import Host, HostState, Target, TargetState
from tests.standins.odd_objects import DEEP

ROUTER = {"role": "router", "name": "h1", "zone": "a", "address": "127.0.0.1:1"}
TARGET = {"role": "target", "name": "t1", "service": "s", "zone": "a", "address": "127.0.0.1:2"}


def host_list(*entries: object) -> bytes:
    """Return a list of `entries` as sent by the platform, with a field of a later version."""
    return json.dumps({"entries": entries, "of": "later versions"}).encode()


def test_entries_are_converted_to_data_classes() -> None:
    """Equal zone names share one string to save memory: 11,000 entries have only a few zones."""
    roster = parse_roster(host_list(ROUTER, {**TARGET, "leaving": True}, {"new": 1, **TARGET})).ok
    assert roster.hosts == {"h1": Host("h1", "a", "127.0.0.1:1", HostState.LIVE)}
    assert roster.targets == {"t1": Target("t1", "s", "a", "127.0.0.1:2", TargetState.LIVE)}
    assert roster.hosts["h1"].zone is roster.targets["t1"].zone


INVALID_LISTS = [
    (
        host_list(ROUTER, {**ROUTER, "name": "No"}, {**TARGET, "zone": 3}),
        ("entries.1.", "entries.2."),
    ),
    (host_list({**TARGET, "name": "t1\n"}), ("entries.0.",)),
    (host_list({**TARGET, "address": "127.0.0.1"}), ("entries.0.",)),
    (host_list({**TARGET, "role": "other"}), ("entries.0:",)),
    (host_list({key: TARGET[key] for key in ("role", "name", "zone", "address")}), ("service",)),
    (host_list(None), ("entries.0",)),
    (b'{"entries": {}}', ("document",)),
    (b"{}", ("document",)),
    (b"[]", ("document",)),
    (b'{"entries": [', ("document",)),
    (b'{"entries": [{"role": "router\xff"}]}', ("entries.0",)),
    (b"", ("document",)),
    (b'{"entries": [%b]}' % DEEP, ("document",)),
    (host_list({**TARGET, "address": "127.0.0.1:\u0664\u0662"}), ("entries.0.",)),
]


@pytest.mark.parametrize(("value", "paths"), INVALID_LISTS)
def test_one_invalid_entry_invalidates_the_list(value: bytes, paths: tuple[str]) -> None:
    """The error message names the path of each invalid value."""
    result = parse_roster(value)
    assert result.is_error()
    assert all(path in result.error for path in paths), result.error
