"""Resuming streams at the entry, over scripted attempts."""

import asyncio
from dataclasses import dataclass, field

import pytest

from almondspindle.chain.resume import ResumingOwnerClient
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import RosterChanged
from almondspindle.core.calls import (
    Call,
    Candidate,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    WorkKind,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.metrics import NullMetrics
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.core.roster import Host, Roster, Target
from tests.standins.sinks import ListSink

SSE = (("Content-Type", "text/event-stream"),)
HEAD = ResponseHead(200, SSE, "t")
GONE = ResponseHead(410, (("Content-Type", "application/json"),), "t")
OTHER_TARGET = ResponseHead(200, SSE, "other")
CHUNKS = [ResponseChunk(b"%d;" % n, n) for n in range(6)]
END = ResponseEnd()
OLD = Candidate("t", "old", "127.0.0.1:1")
NEW = Candidate("t", "new", "127.0.0.1:2")
ROSTER = Roster(
    {"new": Host("new", "z", NEW.owner_address)}, {"t": Target("t", "s", "z", "127.0.0.1:3")}
)
WINDOW_S = 10.0


@dataclass
class ScriptedOwnerClient:
    """Write the parts of the next attempt on each call, then end, or fail with its code."""

    attempts: list[tuple[list, RefusalCode | None]]
    clock: ManualClock
    requests: list[tuple[Candidate, int | None]] = field(default_factory=list)

    async def relay(self, call, candidate, sink) -> Completion:
        self.requests.append((candidate, call.resume_after))
        parts, code = self.attempts.pop(0)
        for part in parts:
            await sink.write(part)
        self.clock.advance(1.0)
        if code is None:
            return Completion(True)
        return Completion(bool(parts), Refusal(code, "broken", RunState.UNKNOWN))


async def relay(attempts, work=WorkKind.CHAT) -> tuple[Completion, ListSink, list]:
    clock = ManualClock()
    directory = DirectoryController(clock, "entry")
    running = asyncio.ensure_future(directory.run())
    directory.send(RosterChanged(ROSTER))
    client = ScriptedOwnerClient(list(attempts), clock)
    sink = ListSink()
    call = Call("r", clock.monotonic() + 1000, "POST", "/x", work=work)
    resumer = ResumingOwnerClient(client, directory, clock, NullMetrics(), WINDOW_S)
    completion = await resumer.relay(call, OLD, sink)
    running.cancel()
    return completion, sink, client.requests


PEER, BROKEN, DEADLINE = (
    RefusalCode.PEER_UNREACHABLE,
    RefusalCode.RESPONSE_BROKEN,
    RefusalCode.DEADLINE_EXCEEDED,
)
NOT_OWNER, FULL = RefusalCode.NOT_OWNER, RefusalCode.FULL
RESUMED = {
    "no break": [([HEAD, *CHUNKS, END], None)],
    "owner fails": [([HEAD, *CHUNKS[:3]], PEER), ([HEAD, *CHUNKS[3:], END], None)],
    "fails twice": [
        ([HEAD, *CHUNKS[:1]], PEER),
        ([HEAD, *CHUNKS[1:2]], BROKEN),
        ([HEAD, *CHUNKS[2:], END], None),
    ],
    "the new owner is not ready": [
        ([HEAD, *CHUNKS[:3]], PEER),
        ([], NOT_OWNER),
        ([], FULL),
        ([HEAD, *CHUNKS[3:], END], None),
    ],
    "only the end mark is left": [([HEAD, *CHUNKS], PEER), ([HEAD, END], None)],
}


@pytest.mark.parametrize("attempts", RESUMED.values(), ids=RESUMED.keys())
def test_the_caller_receives_each_event_once(attempts):
    completion, sink, requests = asyncio.run(relay(attempts))
    assert completion == Completion(True)
    assert sink.parts == [HEAD, *CHUNKS, END]
    offset = None
    for (parts, _), (candidate, after) in zip(attempts, requests, strict=True):
        assert (candidate, after) == (OLD if offset is None else NEW, offset)
        numbers = [part.last_event for part in parts if isinstance(part, ResponseChunk)]
        offset = numbers[-1] if numbers else offset


FIRST_THREE = [HEAD, *CHUNKS[:3]]
NOT_RESUMED = {
    "the target no longer has the stream": ([(FIRST_THREE, PEER), ([GONE], None)], 2),
    "another target responds": ([(FIRST_THREE, PEER), ([OTHER_TARGET], None)], 2),
    "no numbers": ([([HEAD, ResponseChunk(b"0;1;2;")], PEER)], 1),
    "the deadline passed": ([(FIRST_THREE, DEADLINE)], 1),
    "the window passed": ([(FIRST_THREE, PEER), *[([], PEER)] * 10], 11),
}


@pytest.mark.parametrize("attempts,count", NOT_RESUMED.values(), ids=NOT_RESUMED.keys())
def test_the_caller_receives_the_error_if_the_stream_cannot_be_resumed(
    attempts, count, monkeypatch
):
    monkeypatch.setattr("almondspindle.chain.resume.random.random", lambda: 0.0)
    completion, sink, requests = asyncio.run(relay(attempts))
    assert completion.started
    assert completion.refusal is not None
    assert sink.body == b"0;1;2;"
    assert len(sink.heads) == 1
    assert not sink.is_ended
    assert len(requests) == count


def test_a_stream_that_breaks_before_its_first_event_has_not_started():
    completion, sink, _ = asyncio.run(relay([([HEAD], PEER)]))
    assert (completion.started, sink.parts) == (False, [])


def test_a_response_to_a_commit_is_not_resumed():
    completion, _, requests = asyncio.run(relay([(FIRST_THREE, PEER)], WorkKind.COMMIT))
    assert completion.started
    assert len(requests) == 1
