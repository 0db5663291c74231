"""The check of a run reports each violated guarantee."""

from dataclasses import replace

import pytest

from soak.history import (
    AFTER_EFFECT_S,
    Announcement,
    ReceivedResponse,
    ReplicaRequest,
    RunHistory,
    SentRequest,
)

COMMIT = SentRequest("c-1", "unsafe", 5.0, b"c-1")
READ = SentRequest("r-1", "safe", 5.0, b"r-1")
COMPLETE = ReceivedResponse(
    "c-1", 200, 5.1, b"c-1", is_complete=True, has_stamp=True, echoed_id="c-1"
)
EXECUTED = ReplicaRequest("c-1", "t0", "t0", "team-1", has_api_key=False, is_executed=True)


def make_history(
    *responses: ReceivedResponse, requests: tuple[ReplicaRequest, ...] = (EXECUTED,)
) -> RunHistory:
    sent = {each.request_id: each for each in (COMMIT, READ)}
    return RunHistory(
        sent_requests=sent, responses=list(responses), replica_requests=list(requests)
    )


def violated_rules(history: RunHistory) -> list[str]:
    return [line.partition(":")[0] for line in history.violations()]


def test_correct_run_has_no_violation():
    assert make_history(COMPLETE).violations() == []


@pytest.mark.parametrize(
    ("response", "rule"),
    [
        (replace(COMPLETE, body=b"r-1"), "MIXED"),
        (replace(COMPLETE, has_stamp=False), "MIXED"),
        (replace(COMPLETE, echoed_id="r-1"), "MIXED"),
        (replace(COMPLETE, status=503), "REFUSED"),
        (replace(COMPLETE, status=429), "REFUSED"),
        (replace(COMPLETE, status=404), "DENIED"),
        (replace(COMPLETE, status=401), "DENIED"),
        (replace(COMPLETE, is_complete=False), "LOST"),
    ],
)
def test_violation_by_response_is_reported(response, rule):
    assert violated_rules(make_history(response)) == [rule]


@pytest.mark.parametrize(
    ("requests", "rule"),
    [
        ((EXECUTED, EXECUTED), "TWICE"),
        ((replace(EXECUTED, request_id="x"),), "UNASKED"),
        ((replace(EXECUTED, has_api_key=True),), "UNASKED"),
        ((replace(EXECUTED, tenant="team-2"),), "UNASKED"),
        ((replace(EXECUTED, expected_replica="t1"),), "ROUTE"),
    ],
)
def test_violation_at_replica_is_reported(requests, rule):
    assert violated_rules(make_history(COMPLETE, requests=requests)) == [rule]


def test_read_may_run_twice():
    assert make_history(requests=(replace(EXECUTED, request_id="r-1"),) * 2).violations() == []


def test_response_truncated_near_unplanned_fault_is_exempt():
    history = make_history(replace(COMPLETE, is_complete=False))
    history.disturbances.append((5.05, 5.06))
    assert history.violations() == []
    history.disturbances[0] = (1.0, 5.0 - AFTER_EFFECT_S - 0.1)
    assert violated_rules(history) == ["LOST"]


def test_request_not_forwarded_or_truncated_by_replica_is_not_lost():
    no_response = replace(COMPLETE, is_complete=False, status=0, echoed_id="")
    assert make_history(no_response, requests=()).violations() == []
    history = make_history(no_response)
    history.truncated_ids.add("c-1")
    assert history.violations() == []


def test_return_to_older_configuration_is_reported():
    history = make_history()
    history.record_served_version(0, 1, version=3)
    history.record_served_version(0, 2, version=2)  # a new process may start with an older version
    history.record_served_version(0, 1, version=3)
    assert history.violations() == []
    history.record_served_version(0, 1, version=2)
    assert violated_rules(history) == ["CONFIG"]


@pytest.mark.parametrize(("rule", "allowed"), [("DRAIN", 0), ("BUDGET", 2)])
def test_requests_after_an_announcement_are_reported(rule, allowed):
    told = Announcement(rule, "t0", "1", 4.0, 5.0, 7.0, allowed)
    sent = {f"c1-{n}": replace(READ, request_id=f"c1-{n}") for n in range(9)}

    def requests(count: int, at: float) -> list[ReplicaRequest]:
        return [replace(EXECUTED, request_id=f"c1-{n}", arrived_at=at) for n in range(count)]

    def rules(count: int, at: float, **changes) -> list[str]:
        history = RunHistory(sent, [], requests(count, at), announcements=[told], **changes)
        return violated_rules(history)

    assert rules(allowed + 1, 6.0) == [rule]
    assert rules(allowed, 6.0) == []
    assert rules(9, 4.5) == rules(9, 7.5) == []
    assert rules(9, 6.0, host_events=[(5.0, 5.5)]) == []
    assert rules(9, 6.0, disturbances=[(5.0, 5.5)]) == []
