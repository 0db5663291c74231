"""Resume broken streams after the last event forwarded, so that no event is lost or repeated."""

import asyncio
import random
from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

from almondspindle.chain.relay import OwnerClient, log_failed_attempt
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import FindCandidate
from almondspindle.core.calls import (
    Call,
    Candidate,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResponseSink,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import STREAM_RESUMED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import RESUMES, MetricSender
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.decisions.responses import EVENT_STREAM
from almondspindle.decisions.resume import ResumeStep, StreamProgress, next_resume, resume_delay_s


class ResumeRefused(Exception):
    """The target did not answer a resume with the rest of the stream."""


class ResumableSink:
    """Forward one response whose parts may come from several attempts.

    The head of a stream is held back until the first chunk, so that a stream that breaks earlier
    can still be retried on another target. `last_event` is the number of the last event
    forwarded.
    """

    def __init__(self, sink: ResponseSink) -> None:
        self.sink = sink
        self.head: ResponseHead | None = None
        self.pending_head: ResponseHead | None = None
        self.started = False
        self.last_event: int | None = None

    async def write(self, part: ResponsePart) -> None:
        """Forward `part`. Raise `ResumeRefused` if a second head does not continue the stream."""
        await _write(part, self)

    async def write_head(self) -> None:
        """Write the head if it is still held back."""
        if self.pending_head is not None:
            head, self.pending_head = self.pending_head, None
            self.started = True
            await self.sink.write(head)


# A singledispatch function costs a fifth of a singledispatchmethod, which is bound for each part.
@singledispatch
async def _write(part: Any, stream: ResumableSink) -> None:
    raise InvariantError(f"unexpected response part {type(part).__name__}")


@_write.register
async def _(part: ResponseChunk, stream: ResumableSink) -> None:
    await stream.write_head()
    await stream.sink.write(part)
    if part.last_event is not None:
        stream.last_event = part.last_event


@_write.register
async def _(part: ResponseHead, stream: ResumableSink) -> None:
    if stream.head is not None:
        _check_resumed(stream.head, part)
        return
    stream.head = stream.pending_head = part
    if not _is_stream(part):
        await stream.write_head()


@_write.register
async def _(part: ResponseEnd, stream: ResumableSink) -> None:
    await stream.write_head()
    await stream.sink.write(part)


@dataclass(frozen=True, slots=True)
class ResumingOwnerClient:
    """An owner client that resumes a stream at its target when the connection to it breaks.

    `window_s` is how long after its last progress a stream may be resumed, in seconds.
    """

    owners: OwnerClient
    directory: DirectoryController
    clock: Clock
    metrics: MetricSender
    window_s: float

    async def relay(self, call: Call, candidate: Candidate, sink: ResponseSink) -> Completion:
        """Relay `call` to the candidate's owner; write the response into `sink`."""
        stream = ResumableSink(sink)
        completion = await self.owners.relay(call, candidate, stream)
        progress = StreamProgress(call.work, stream.last_event, self.clock.monotonic())
        while completion.refusal is not None and stream.started:
            step = next_resume(
                progress, completion, self.clock.monotonic(), self.window_s, call.deadline_at
            )
            if step is ResumeStep.GIVE_UP:
                return Completion(True, completion.refusal)
            log_failed_attempt(call, candidate, completion.refusal)
            await asyncio.sleep(resume_delay_s(progress, random.random()))
            completion = await self._resume(call, candidate, stream)
            progress = self._advance(progress, stream)
        return Completion(stream.started, completion.refusal)

    async def _resume(self, call: Call, candidate: Candidate, stream: ResumableSink) -> Completion:
        found = await self.directory.request(FindCandidate(candidate.target))
        self.metrics.count(RESUMES)
        emit(
            STREAM_RESUMED,
            request_id=call.request_id,
            target=candidate.target,
            after=stream.last_event,
        )
        try:
            rest = call.copy_with(resume_after=stream.last_event)
            return await self.owners.relay(rest, found or candidate, stream)
        except ResumeRefused as exc:
            return Completion(True, Refusal(RefusalCode.RESUME_REFUSED, str(exc), RunState.UNKNOWN))

    def _advance(self, progress: StreamProgress, stream: ResumableSink) -> StreamProgress:
        if stream.last_event == progress.last_event:
            return replace(progress, failed_resumes=progress.failed_resumes + 1)
        return StreamProgress(progress.work, stream.last_event, self.clock.monotonic())


def _is_stream(head: ResponseHead) -> bool:
    return any(
        name.lower() == "content-type" and value.startswith(EVENT_STREAM)
        for name, value in head.headers
    )


def _check_resumed(first: ResponseHead, second: ResponseHead) -> None:
    is_same_response = (second.status, second.target) == (first.status, first.target)
    if not (is_same_response and _is_stream(second)):
        raise ResumeRefused(f"the target answered the resume with status {second.status}")
