"""Test the reports that hosts send to each other as datagrams."""

from dataclasses import replace

import msgspec
import pytest

from almondspindle.adapters.exchange.datagrams import decode_report, encode_report
from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.placements import TargetLife
from almondspindle.core.reports import AttemptCounts, HostReport, OutsideReport, ZoneReport
from almondspindle.core.rollouts import (
    RolloutKey,
    RolloutProgress,
    RolloutStage,
    RouteTally,
    Tally,
)
from almondspindle.decisions.leaving_targets import MAX_REPORTED
from almondspindle.decisions.store_eras import MAX_ERA
from tests.standins.revisions import at

HOST = HostReport(HostName("h0"), "10.0.0.1:7340", 1, ZoneName("a"))
ZONE = ZoneReport(HostName("h0"), "10.0.0.1:7340", ZoneName("a"))


def lives(count: int) -> tuple[TargetLife, ...]:
    names = [TargetName(f"i-{number:010x}") for number in range(count)]
    return tuple(TargetLife(name, "10.100.100.100:65535", 1_700_000_000_000) for name in names)


# The fields that later releases have added at the end, the last one first.
ADDED_FIELDS = (
    {},  # revisions from which on all changes are known
    {},  # ages
    {},  # eras
    {},  # paced targets
    [],  # roll-outs
    [],  # leaving targets
)


@pytest.mark.parametrize("report", [HOST, ZONE])
@pytest.mark.parametrize("missing", range(1, len(ADDED_FIELDS) + 1))
def test_report_of_a_host_of_an_earlier_release_is_decoded(report, missing):
    data = encode_report(report)
    values = msgspec.msgpack.decode(data[1:])
    assert tuple(reversed(values[-missing:])) == ADDED_FIELDS[:missing]
    older = data[:1] + msgspec.msgpack.encode(values[:-missing])
    assert decode_report(older) == report


@pytest.mark.parametrize("report", [HOST, ZONE])
def test_eras_and_ages_of_copies_are_reported(report):
    revisions = {"routes": at(7, era=2), "targets": at(900)}
    known_from = {"routes": at(5, era=2), "targets": at(850)}
    ages_s = {"routes": 0.25, "targets": 1.5}
    copies = replace(report, revisions=revisions, ages_s=ages_s, known_from=known_from)
    assert decode_report(encode_report(copies)) == copies
    sender = replace(HOST, revisions=revisions, ages_s=ages_s, known_from=known_from)
    outside = OutsideReport(sender)
    assert decode_report(encode_report(outside)) == outside


@pytest.mark.parametrize("era", [-1, MAX_ERA + 1])
def test_a_report_with_an_era_that_no_store_can_be_in_is_ignored(era):
    for changes in ({"revisions": {"routes": at(7, era)}}, {"known_from": {"routes": at(7, era)}}):
        with pytest.raises(ValueError, match="era"):
            decode_report(encode_report(replace(HOST, **changes)))


ROLLOUT = RolloutProgress(
    RolloutKey(ServiceName("s"), "v2", 7), 1.5, RolloutStage.SHIFT, 90, 8,
    (RouteTally("r", TargetName("t"), Tally(5, 1, (0, 4))),),
)  # fmt: skip


@pytest.mark.parametrize("report", [HOST, ZONE, OutsideReport(HOST)])
def test_roll_outs_and_paced_targets_are_transferred(report):
    paced = {TargetName("t"): AttemptCounts(4, 1)}
    changed = replace(report, rollouts=(ROLLOUT,), paced=paced)
    assert decode_report(encode_report(changed)) == changed


@pytest.mark.parametrize("report", [HOST, ZONE])
def test_leaving_targets_add_a_bounded_number_of_bytes(report):
    leaving = (*lives(MAX_REPORTED - 1), TargetLife(TargetName("t"), "10.0.0.1:1", None))
    changed = replace(report, leaving=leaving)
    data = encode_report(changed)
    assert decode_report(data) == changed
    assert len(data) - len(encode_report(report)) < 60 * MAX_REPORTED
