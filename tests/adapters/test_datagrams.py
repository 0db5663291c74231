"""Test the reports that hosts send to each other as datagrams."""

from dataclasses import replace

import msgspec
import pytest

from almondspindle.adapters.exchange.datagrams import decode_report, encode_report
from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.placements import TargetLife
from almondspindle.core.reports import HostReport, ZoneReport
from almondspindle.decisions.leaving_targets import MAX_REPORTED

HOST = HostReport(HostName("h0"), "10.0.0.1:7340", 1, ZoneName("a"))
ZONE = ZoneReport(HostName("h0"), "10.0.0.1:7340", ZoneName("a"))


def lives(count: int) -> tuple[TargetLife, ...]:
    names = [TargetName(f"i-{number:010x}") for number in range(count)]
    return tuple(TargetLife(name, "10.100.100.100:65535", 1_700_000_000_000) for name in names)


@pytest.mark.parametrize("report", [HOST, ZONE])
def test_report_of_a_host_that_knows_no_leaving_targets_is_decoded(report):
    data = encode_report(report)
    values = msgspec.msgpack.decode(data[1:])
    assert values[-1] == []
    older = data[:1] + msgspec.msgpack.encode(values[:-1])
    assert decode_report(older) == report


@pytest.mark.parametrize("report", [HOST, ZONE])
def test_leaving_targets_add_a_bounded_number_of_bytes(report):
    leaving = (*lives(MAX_REPORTED - 1), TargetLife(TargetName("t"), "10.0.0.1:1", None))
    changed = replace(report, leaving=leaving)
    data = encode_report(changed)
    assert decode_report(data) == changed
    assert len(data) - len(encode_report(report)) < 60 * MAX_REPORTED
