"""The id of a request's content is the same for its repeats, on all hosts, and for nothing else."""

import pytest

from almondspindle.core.calls import Call
from almondspindle.core.identifiers import RequestId, ServiceName
from almondspindle.core.prompts import Prompt, PromptPart
from almondspindle.decisions.content import content_id, is_content_id

CALL = Call(
    RequestId("r-1"),
    1.0,
    "POST",
    "/commit/x",
    body=b"one",
    service=ServiceName("desk"),
    bearer_token="key-1",
    prompt=Prompt("m", 3, 4, (PromptPart("a", 1), PromptPart("b", 2))),
)


def test_a_repeat_under_another_id_by_another_caller_has_the_same_id():
    repeat = CALL.copy_with(
        request_id=RequestId("r-2"),
        deadline_at=9.0,
        bearer_token="key-2",
        headers=(("X-Other", "1"),),
        resume_after=3,
    )
    assert content_id(repeat) == content_id(CALL)


def test_the_id_does_not_change_between_processes():
    call = Call(RequestId("r-1"), 1.0, "GET", "/read/x", service=ServiceName("desk"))
    assert content_id(call) == "req:a21a79d5a972f1a5"


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"path": "/commit/y"},
        {"body": b"two"},
        {"service": ServiceName("other")},
        {"prompt": None},
        {"prompt": Prompt("m", 3, 4, (PromptPart("a", 1), PromptPart("c", 2)))},
        {"path": "/commit", "body": b"/xone"},
    ],
)
def test_another_content_has_another_id(changes):
    assert content_id(CALL.copy_with(**changes)) != content_id(CALL)


def test_the_id_shows_nothing_of_the_body_and_cannot_be_the_id_of_a_prompt_part():
    call_id = content_id(CALL.copy_with(body=b"secret" * 1000))
    assert len(call_id) == 20
    assert is_content_id(call_id)
    assert not is_content_id("a1979a9a31e")
