"""Headers of requests and answers on the platform."""

import pytest

from almondspindle.core.calls import Call
from almondspindle.core.identifiers import TargetName, TeamName
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.core.placements import Occupancy
from almondspindle.platform.headers import (
    read_answer,
    read_call,
    refusal_headers,
    refusal_status,
    request_headers,
)

BASE = (
    ("Host", "H.example"),
    ("X-Request-Id", "9c41"),
    ("X-Deadline-Ms", "12000"),
    ("X-Api-Key", "secret"),
    ("X-Model", "m"),
    ("X-Token-Count", "1460,80"),
    ("X-Prompt-Prefix", "5c:800,91:410,e4:250"),
)


def call(*more: tuple[str, str], body: bytes = b"hello") -> Call:
    return read_call("POST", "/p/x?q=1", (*BASE, *more), body, now=100.0).ok


def sent(found: Call, **changes: object) -> dict[str, str]:
    ready = found.copy_with(target=TargetName("i-1"), team=TeamName("t"), priority=2, **changes)
    headers = request_headers(ready, now=101.0)
    names = [name.lower() for name, _ in headers]
    assert len(set(names)) == len(names), "a header was sent twice"
    return {name.lower(): value for name, value in headers}


def test_a_request_becomes_a_call():
    found = call()
    assert (found.authority, found.deadline_at) == ("h.example", 112.0)
    assert found.bearer_token == "secret"
    assert found.prompt is not None
    assert found.prompt.shared_key == "91"
    assert found.prompt.tokens_out == 80


def test_a_target_gets_the_callers_headers_and_the_systems_own():
    headers = sent(call(("X-Length-Hint", "40"), ("Content-Type", "text/plain")))
    assert headers["x-request-id"] == "9c41"
    assert headers["x-prompt-prefix"] == "5c:800,91:410,e4:250"
    assert headers["x-length-hint"] == "40"
    assert headers["x-expect-instance"] == "i-1"
    assert headers["x-tenant"] == "t"
    assert headers["x-deadline-ms"] == "11000"
    assert headers["content-length"] == "5"
    assert "x-api-key" not in headers


@pytest.mark.parametrize(
    "name",
    ["X-Tenant", "x-expect-instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch",
     "X-Expect-Version"],
)  # fmt: skip
def test_headers_of_the_systems_own_are_not_taken_from_callers(name):
    assert "forged" not in sent(call((name, "forged"))).values()


def test_headers_of_one_connection_are_not_passed_on():
    headers = sent(call(("Connection", "close, X-Once"), ("X-Once", "1"), ("TE", "trailers")))
    assert not {"connection", "x-once", "te"} & set(headers)


def test_a_team_without_a_name_gets_no_header_even_if_the_caller_sends_one():
    found = call(("X-Tenant", "forged"))
    headers = dict(request_headers(found.copy_with(target=TargetName("i")), now=101.0))
    assert "X-Tenant" not in headers


def test_a_stream_is_resumed_after_the_last_event_that_was_passed_on():
    found = call(("Last-Event-Id", "3"))
    assert sent(found)["last-event-id"] == "3"
    assert sent(found, resume_after=9)["last-event-id"] == "9"


@pytest.mark.parametrize(
    "headers",
    [
        (("Host", "h"),),
        (("X-Request-Id", "1"),),
        (("Host", "h"), ("Host", "i"), ("X-Request-Id", "1")),
        (("Host", "h"), ("X-Request-Id", "1"), ("x-request-id", "2")),
        (("Host", "h"), ("X-Request-Id", "1"), ("X-Api-Key", "a"), ("X-Api-Key", "b")),
    ],
)
def test_a_request_without_one_id_and_one_host_is_malformed(headers):
    refusal = read_call("GET", "/p/", headers, b"", 0.0).error
    assert refusal_status(refusal) == 400


def test_the_head_of_an_answer_is_read():
    facts = read_answer(
        200, (("X-Response-Stamp", "s"), ("X-Request-Id", "9c41"), ("X-Load", "3,1,8"),
              ("X-Cold-Ms", "1500"), ("Keep-Alive", "timeout=5"))
    )  # fmt: skip
    assert facts.is_stamped and not facts.is_not_run
    assert facts.occupancy == Occupancy(3, 1, 8)
    assert facts.cold_left_s == 1.5
    assert "Keep-Alive" not in dict(facts.headers)


def test_only_a_targets_own_word_says_that_it_has_not_run():
    assert read_answer(503, (("X-Not-Run", "1"),)).is_not_run
    assert read_answer(421, ()).is_not_run
    assert not read_answer(503, ()).is_not_run
    assert not read_answer(500, ()).is_not_run


@pytest.mark.parametrize("load", ["", "3", "a,b,c", "1,2", "-1,0,8"])
def test_a_malformed_load_is_no_load(load):
    assert read_answer(200, (("X-Load", load),)).occupancy is None


def test_a_refusal_promises_only_what_is_true():
    not_run = Refusal(RefusalCode.FULL, "full", RunState.NOT_RUN, 0.25)
    assert refusal_status(not_run) == 503
    assert dict(refusal_headers("1", not_run))["Retry-After"] == "0.25"
    for code in (RefusalCode.TARGET_UNREACHABLE, RefusalCode.DEADLINE_EXCEEDED):
        unknown = Refusal(code, "?", RunState.UNKNOWN)
        assert refusal_status(unknown) in (502, 504)
        assert "Retry-After" not in dict(refusal_headers("1", unknown))
