"""The controller that collects operations on claims into batches, one at a time per segment."""

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import singledispatch, singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.claims.messages import (
    Batch,
    BatchApplied,
    PartSnapshot,
    ScheduledWrite,
    StartBatch,
    SubmitOperation,
)
from almondspindle.core.claims import ClaimDecision, ClaimReply, SettleRequest
from almondspindle.core.clock import Clock
from almondspindle.decisions.claim_keys import Segment, segment_of

# Minimum time between two batches of a shard. It applies separately to batches that contain only
# settlements and to all other batches.
WRITE_INTERVAL_S = 0.04
SETTLE_BATCHING_DELAY_S = 0.2  # how long a settlement waits for claims that can share its write
MAX_IDLE_SEGMENTS = 16  # idle segments whose records stay in memory
MAX_PENDING_OPERATIONS = 5_000  # operations not yet in a batch; more are refused as unavailable


@dataclass(slots=True)
class _SegmentState:
    """The unanswered operations of a segment and the last known state of its parts.

    Operations in `waiting` are not yet in a batch; those in `in_flight` are being written.
    `scheduled_at` is the time of the next write in seconds of the monotonic clock, or None.
    """

    waiting: list[SubmitOperation] = field(default_factory=list)
    in_flight: list[SubmitOperation] = field(default_factory=list)
    scheduled_at: float | None = None
    is_writing: bool = False
    snapshots: Mapping[int, PartSnapshot] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _RateLimitKey:
    """Identify the batches that share `WRITE_INTERVAL_S`.

    Batches that contain only settlements have an interval of their own, so that they don't delay
    claims. `has_claim` is true for all other batches.
    """

    shard: int
    has_claim: bool


class ClaimsController(Controller):
    """Own the unanswered operations, and the last known state of the parts of recent segments.

    `scheduled_writes` is the queue of the writes that the segment writer performs.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.scheduled_writes: asyncio.Queue[ScheduledWrite] = asyncio.Queue()
        self._segments: OrderedDict[Segment, _SegmentState] = OrderedDict()
        self._next_write_at: dict[_RateLimitKey, float] = {}
        self._waiting_count = 0

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SubmitOperation, now: float) -> None:
        if self._waiting_count >= MAX_PENDING_OPERATIONS:
            _reply(
                msg, ClaimReply(ClaimDecision.UNAVAILABLE, reason="too many operations are waiting")
            )
            return
        self._waiting_count += 1
        segment = segment_of(msg.operation.scope)
        state = self._segments.setdefault(segment, _SegmentState())
        self._segments.move_to_end(segment)
        state.waiting.append(msg)
        self._schedule(segment, state, now + batching_delay_s(msg.operation))

    @handle.register
    def _(self, msg: StartBatch, now: float) -> Batch | None:
        state = self._segments.get(msg.segment)
        if state is None or state.is_writing or not state.waiting:
            return None
        state.scheduled_at = None
        key = _rate_limit_key(msg.segment, state)
        if now < self._next_write_at.get(key, 0.0):
            self._schedule(msg.segment, state, now)
            return None
        self._next_write_at[key] = now + WRITE_INTERVAL_S
        return self._start_batch(state)

    @handle.register
    def _(self, msg: BatchApplied, now: float) -> None:
        state = self._segments[msg.segment]
        for submit, reply in zip(state.in_flight, msg.replies, strict=True):
            _reply(submit, reply)
        state.in_flight = []
        state.is_writing = False
        state.snapshots = msg.snapshots
        if state.waiting:
            self._schedule(msg.segment, state, now)
        self._evict_idle()

    def _start_batch(self, state: _SegmentState) -> Batch:
        # A claim whose requester has left must not be granted, because nobody would settle it.
        awaited = [submit for submit in state.waiting if not submit.fut.done()]
        self._waiting_count -= len(state.waiting)
        state.waiting = []
        state.in_flight = awaited
        state.is_writing = True
        return Batch([submit.operation for submit in awaited], state.snapshots)

    def _schedule(self, segment: Segment, state: _SegmentState, at: float) -> None:
        """Schedule a write of the segment at `at`, or as soon after that as the rate limit allows.

        Do nothing if a write is already scheduled for that time or earlier, or while a batch is in
        flight: its `BatchApplied` schedules the next one.
        """
        start_at = max(at, self._next_write_at.get(_rate_limit_key(segment, state), 0.0))
        if state.is_writing or (state.scheduled_at is not None and state.scheduled_at <= start_at):
            return
        state.scheduled_at = start_at
        self.scheduled_writes.put_nowait(ScheduledWrite(segment, start_at))

    def _evict_idle(self) -> None:
        idle = [s for s, state in self._segments.items() if _is_idle(state)]
        for segment in idle[: max(0, len(idle) - MAX_IDLE_SEGMENTS)]:
            del self._segments[segment]


def _rate_limit_key(segment: Segment, state: _SegmentState) -> _RateLimitKey:
    return _RateLimitKey(
        segment.shard, any(batching_delay_s(s.operation) == 0.0 for s in state.waiting)
    )


@singledispatch
def batching_delay_s(operation: object) -> float:
    """Return how long an operation may wait for others that can share its write, in seconds."""
    return 0.0


@batching_delay_s.register
def _(operation: SettleRequest) -> float:
    return SETTLE_BATCHING_DELAY_S


def _is_idle(state: _SegmentState) -> bool:
    return not state.waiting and not state.in_flight and not state.is_writing


def _reply(submit: SubmitOperation, reply: ClaimReply) -> None:
    if not submit.fut.done():
        submit.fut.set_result(reply)
