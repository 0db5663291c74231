"""The timed rules report what hosts in touch do too late, and excuse the others."""

from collections import Counter
from dataclasses import replace

import pytest

from soak.timed_rules import Arrival, Exclusion, FleetRecord, Probe, Span

DRAIN = Exclusion("DRAIN", frozenset({"t0"}), Span(10.0, 20.0), 2.0)
LATE = Arrival(host="1", replica="t0", sent_at=12.5, arrived_at=12.6)
OLD_SERVED = Probe(host="1", version=1, sent_at=12.5, received_at=12.6, status=200)
NEW_REFUSED = Probe(host="1", version=2, sent_at=12.5, received_at=12.6, status=404)
VERSIONS = {1: 1.0, 2: 10.0}


def broken(record: FleetRecord, *arrivals: Arrival, cold_per_s: float = 0.0) -> list[str]:
    lines = record.check(list(arrivals), cold_per_s, Counter())
    return [line.partition(":")[0] for line in lines]


def test_a_request_at_a_replica_that_left_is_reported():
    record = FleetRecord(exclusions=[DRAIN])
    assert broken(record, LATE) == ["DRAIN"]
    assert broken(record, replace(LATE, replica="t1")) == []
    assert broken(record, replace(LATE, arrived_at=11.9)) == []
    assert broken(record, replace(LATE, arrived_at=20.1)) == []


def test_a_leaving_that_an_unstable_store_acknowledged_binds_nobody():
    away = Span(7.5, 8.0)
    record = FleetRecord(exclusions=[DRAIN], store=[away])
    assert broken(record, LATE) == []
    assert broken(replace(record, exclusions=[replace(DRAIN, rule="EVAC")]), LATE) == ["EVAC"]


@pytest.mark.parametrize("probe", [OLD_SERVED, NEW_REFUSED])
def test_an_older_configuration_in_force_is_reported(probe):
    record = FleetRecord(versions=VERSIONS, probes=[probe])
    assert broken(record) == ["CONFIG"]
    record.probes = [replace(probe, sent_at=11.9)]
    assert broken(record) == []


def test_a_configuration_written_during_a_request_may_be_in_force():
    record = FleetRecord(versions=VERSIONS | {3: 12.55}, probes=[NEW_REFUSED])
    assert broken(record) == []


@pytest.mark.parametrize("span", [Span(9.0, 9.6), Span(12.55, 13.0)])
def test_hosts_out_of_touch_are_excused(span):
    record = FleetRecord(exclusions=[DRAIN], versions=VERSIONS, probes=[OLD_SERVED])
    assert broken(replace(record, store=[span]), LATE) == []
    assert broken(replace(record, hosts=[("1", span)]), LATE) == []
    assert broken(replace(record, hosts=[("2", span)]), LATE) == ["CONFIG", "DRAIN"]
    assert broken(replace(record, store=[Span(6.0, 6.9)]), LATE) == ["CONFIG", "DRAIN"]


def test_a_request_over_an_impaired_link_is_held_up():
    record = FleetRecord(exclusions=[DRAIN], replicas=[("t0", Span(9.0, 9.6))])
    assert broken(record, LATE) == []


def test_too_many_requests_at_a_cold_replica_are_reported():
    record = FleetRecord(cold=[("t0", Span(12.0, 14.0))])
    assert broken(record, *[LATE] * 6, cold_per_s=1.0) == []
    assert set(broken(record, *[LATE] * 7, cold_per_s=1.0)) == {"FAILBACK"}
