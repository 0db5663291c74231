"""The check of a run reports each violated guarantee."""

from dataclasses import replace

import pytest

from soak.history import SETTLE_S, Arrived, Got, Ledger, Sent

COMMIT = Sent("c-1", "unsafe", 5.0, b"c-1")
READ = Sent("r-1", "safe", 5.0, b"r-1")
COMPLETE = Got("c-1", 200, 5.1, b"c-1", is_whole=True, is_stamped=True, echoed_id="c-1")
EXECUTED = Arrived("c-1", "t0", "t0", "team-1", has_key=False, runs=True)


def make_history(*got: Got, arrived: tuple[Arrived, ...] = (EXECUTED,)) -> Ledger:
    sent = {each.request_id: each for each in (COMMIT, READ)}
    return Ledger(sent=sent, got=list(got), arrived=list(arrived))


def violated_rules(history: Ledger) -> list[str]:
    return [line.partition(":")[0] for line in history.broken()]


def test_correct_run_has_no_violation():
    assert make_history(COMPLETE).broken() == []


@pytest.mark.parametrize(
    ("got", "rule"),
    [
        (replace(COMPLETE, body=b"r-1"), "MIXED"),
        (replace(COMPLETE, is_stamped=False), "MIXED"),
        (replace(COMPLETE, echoed_id="r-1"), "MIXED"),
        (replace(COMPLETE, status=503), "REFUSED"),
        (replace(COMPLETE, status=429), "REFUSED"),
        (replace(COMPLETE, status=404), "DENIED"),
        (replace(COMPLETE, status=401), "DENIED"),
        (replace(COMPLETE, is_whole=False), "LOST"),
    ],
)
def test_violation_by_response_is_reported(got, rule):
    assert violated_rules(make_history(got)) == [rule]


@pytest.mark.parametrize(
    ("arrived", "rule"),
    [
        ((EXECUTED, EXECUTED), "TWICE"),
        ((replace(EXECUTED, request_id="x"),), "UNASKED"),
        ((replace(EXECUTED, has_key=True),), "UNASKED"),
        ((replace(EXECUTED, tenant="team-2"),), "UNASKED"),
        ((replace(EXECUTED, expected_replica="t1"),), "ROUTE"),
    ],
)
def test_violation_at_replica_is_reported(arrived, rule):
    assert violated_rules(make_history(COMPLETE, arrived=arrived)) == [rule]


def test_read_may_run_twice():
    assert make_history(arrived=(replace(EXECUTED, request_id="r-1"),) * 2).broken() == []


def test_response_truncated_near_unplanned_fault_is_exempt():
    history = make_history(replace(COMPLETE, is_whole=False))
    history.disturbed.append((5.05, 5.06))
    assert history.broken() == []
    history.disturbed[0] = (1.0, 5.0 - SETTLE_S - 0.1)
    assert violated_rules(history) == ["LOST"]


def test_request_not_forwarded_or_truncated_by_replica_is_not_lost():
    no_response = replace(COMPLETE, is_whole=False, status=0, echoed_id="")
    assert make_history(no_response, arrived=()).broken() == []
    history = make_history(no_response)
    history.broken_off.add("c-1")
    assert history.broken() == []


def test_return_to_older_configuration_is_reported():
    history = make_history()
    history.probe_served(0, 1, version=3)
    history.probe_served(0, 2, version=2)  # a new process may start with an older version
    history.probe_served(0, 1, version=3)
    assert history.broken() == []
    history.probe_served(0, 1, version=2)
    assert violated_rules(history) == ["CONFIG"]
