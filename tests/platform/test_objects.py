"""Test decoding the objects of the platform's store."""

import json

import pytest

from almondspindle.core.calls import WorkKind
from almondspindle.core.inventory import (
    HostRecord,
    TargetRecord,
    Topic,
    UnreadableRecord,
    ZoneExclusion,
)
from almondspindle.core.routes import RouteTable
from almondspindle.platform.objects import decode_record, encode_host
from tests.standins.revisions import at

REPLICA = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "walvis-a",
    "slots": 48,
    "state": "ready",
    "cold_left_ms": 1500,
    "born": 1700000000000,
    "seq": 4,
}
MANIFEST = {
    "version": 7,
    "routes": [
        {"name": "r1", "host": "H.example", "prefix": "/a/", "kind": "stream", "timeout_ms": 10000,
         "latency_target_ms": 300, "priority": 1, "service": "s1", "attempts": 2, "sticky": True,
         "resumable": True, "gap_aim_ms": 250},
        {"name": "r2", "host": "h.example", "prefix": "/a/b/", "kind": "unsafe", "timeout_ms": 600,
         "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
    ],
    "services": [{"name": "s1", "max_conns": 290, "cold_s": 3.0, "cold_per_s": 20.0,
                  "engine": {"slots": 48, "kv_tokens": 765404}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 3}],
}  # fmt: skip


def stored(spec: object, name: str = "x", rev: int = 5) -> bytes:
    return json.dumps({"meta": {"name": name, "rev": rev}, "spec": spec, "status": None}).encode()


def test_replica_is_decoded_as_target():
    record = decode_record(Topic.TARGETS, stored(REPLICA, "i-1"))
    assert record is not None
    assert (record.name, record.revision) == ("i-1", at(5))
    target = record.value
    assert isinstance(target, TargetRecord)
    assert target.cold_left_s == 1.5
    assert not target.is_leaving
    leaving = decode_record(Topic.TARGETS, stored({**REPLICA, "state": "draining"}))
    assert leaving is not None and leaving.value.is_leaving  # type: ignore[union-attr]


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        "bytes",
        {},
        {**REPLICA, "slots": "many"},
        {**REPLICA, "state": "resting"},
        {**REPLICA, "addr": "nowhere"},
        {**REPLICA, "service": None},
        {key: value for key, value in REPLICA.items() if key != "zone"},
    ],
)
def test_object_of_another_format_is_decoded_as_unreadable(spec):
    record = decode_record(Topic.TARGETS, stored(spec))
    assert record is not None
    assert isinstance(record.value, UnreadableRecord)


def test_bytes_without_object_metadata_give_no_record():
    assert decode_record(Topic.TARGETS, b'{"meta": 7}') is None
    assert decode_record(Topic.TARGETS, b"\xff") is None


def test_manifest_is_decoded_as_route_table_with_longest_prefixes_first():
    record = decode_record(Topic.ROUTES, stored(MANIFEST, "main"))
    assert record is not None
    table = record.value
    assert isinstance(table, RouteTable)
    first, second = table.routes["h.example"]
    assert (first.prefix, second.prefix) == ("/a/b/", "/a/")
    assert first.work is WorkKind.COMMIT and not first.is_retryable
    assert [share.weight for share in first.shares] == [90, 10]
    assert second.is_retryable and second.gap_objective_s == 0.25
    assert table.key_owners is not None and table.key_owners["k2"].team == "t1"
    assert table.key_owners["k2"].priority == 3


def test_manifest_without_tenants_requires_no_api_keys():
    spec = {key: value for key, value in MANIFEST.items() if key != "tenants"}
    record = decode_record(Topic.ROUTES, stored(spec, "main"))
    assert record is not None
    assert record.value.key_owners is None  # type: ignore[union-attr]


def test_evacuation_is_decoded_as_zone_exclusion():
    record = decode_record(Topic.ZONES, stored({}, "walvis-a"))
    assert record is not None
    assert record.value == ZoneExclusion("walvis-a")  # type: ignore[arg-type]


def test_encoded_host_is_decoded_as_the_same_record():
    host = HostRecord("h1", "10.0.0.1:7340", "a")  # type: ignore[arg-type]
    body = encode_host(host)
    record = decode_record(Topic.HOSTS, json.dumps(body).encode())
    assert record is not None
    assert record.value == host
