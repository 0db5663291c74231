"""Apply batches of operations on claims to the store by conditional updates."""

import asyncio
import random
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from almondspindle.adapters.platform.base import Platform, StoreError, StoreErrorCode
from almondspindle.adapters.platform.claim_codec import decode_part, encode_part
from almondspindle.controllers.claims.messages import (
    Batch,
    BatchApplied,
    PartSnapshot,
    ScheduledWrite,
    StartBatch,
)
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.core.claims import ClaimDecision, ClaimReply
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    CLAIM_BATCH_GIVEN_UP,
    CLAIM_OBJECT_INVALID,
    CLAIM_WRITE_FAILED,
)
from almondspindle.core.logs import emit
from almondspindle.core.metrics import CLAIM_OPERATIONS, CLAIM_WRITES, MetricSender
from almondspindle.core.outcomes import Error, Result
from almondspindle.decisions.claim_keys import Segment
from almondspindle.decisions.claims import ClaimOperation, MergeResult, merge
from almondspindle.utils.tasks import TaskSet

T = TypeVar("T")

PART_TIMEOUT_S = 2.5  # time-out for one part of a batch, including retries
BACKOFF_BASE_S = 0.05  # upper bound of the first pause; doubles with each failed call
MAX_BACKOFF_S = 0.5
MAX_PARTS = 64  # maximum number of parts of a segment


@dataclass(slots=True)
class _Backoff:
    """The deadline for a part and the backoff between its failed calls.

    `deadline_at` is in seconds of the monotonic clock.
    """

    clock: Clock
    deadline_at: float
    failures: int = 0

    async def with_deadline(self, call: Awaitable[Result[T, StoreError]]) -> Result[T, StoreError]:
        """Return the result of `call`, or UNAVAILABLE if the deadline passes first.

        A write that has timed out may still take effect. This is harmless because the write is
        conditional.
        """
        remaining_s = max(0.0, self.deadline_at - self.clock.monotonic())
        try:
            return await asyncio.wait_for(call, remaining_s)
        except TimeoutError:
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, "no response before the deadline"))

    async def wait(self, error: StoreError, name: str) -> bool:
        """Log a failed call and back off; return False if the deadline would pass meanwhile."""
        emit(CLAIM_WRITE_FAILED, object=name, code=error.code, reason=error.message)
        max_pause_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**self.failures)
        self.failures += 1
        pause_s = random.uniform(0.0, max_pause_s)
        if self.clock.monotonic() + pause_s >= self.deadline_at:
            return False
        await asyncio.sleep(pause_s)
        return True


@dataclass(slots=True)
class _BatchProgress:
    """The replies to operations decided so far, and the parts as now stored, by part number."""

    replies: list[ClaimReply | None]
    snapshots: dict[int, PartSnapshot] = field(default_factory=dict)


class SegmentWriter:
    """Perform scheduled writes: segments concurrently, with one write in flight per segment."""

    def __init__(
        self, platform: Platform, controller: ClaimsController, clock: Clock, metrics: MetricSender
    ) -> None:
        self._platform = platform
        self._controller = controller
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskSet()

    async def run(self) -> None:
        """Write until cancelled. Raise `RuntimeError` after an exception in a scheduled write."""
        failed = asyncio.ensure_future(self._tasks.wait_for_failure())
        dispatch = asyncio.ensure_future(self._dispatch())
        try:
            await asyncio.wait({failed, dispatch}, return_when=asyncio.FIRST_COMPLETED)
            raise RuntimeError("a scheduled write of claims failed")
        finally:
            failed.cancel()
            dispatch.cancel()
            await self._tasks.cancel_all()

    async def _dispatch(self) -> None:
        while True:
            scheduled = await self._controller.scheduled_writes.get()
            self._tasks.start(f"claims-{scheduled.segment}", self._run_scheduled_write(scheduled))

    async def _run_scheduled_write(self, scheduled: ScheduledWrite) -> None:
        await asyncio.sleep(scheduled.start_at - self._clock.monotonic())
        batch = await self._controller.request(StartBatch(scheduled.segment))
        if batch is None:
            return
        progress = await self._apply(scheduled.segment, batch)
        unavailable = ClaimReply(
            ClaimDecision.UNAVAILABLE, reason="the store did not respond in time"
        )
        replies = [reply or unavailable for reply in progress.replies]
        self._controller.send(BatchApplied(scheduled.segment, replies, progress.snapshots))

    async def _apply(self, segment: Segment, batch: Batch) -> _BatchProgress:
        """Apply the batch to one part after another, until every operation has been decided.

        Operations are left without a reply if a part can't be applied or `MAX_PARTS` are full.
        """
        progress = _BatchProgress([None] * len(batch.operations))
        undecided = list(range(len(batch.operations)))
        for number in range(MAX_PARTS):
            name = segment.object_name(number)
            operations = [batch.operations[index] for index in undecided]
            applied = await self._apply_part(name, operations, batch.snapshots.get(number))
            if applied is None:
                emit(CLAIM_BATCH_GIVEN_UP, object=name, changes=len(operations))
                break
            merged, progress.snapshots[number] = applied
            for index, reply in zip(undecided, merged.replies, strict=True):
                progress.replies[index] = reply
            undecided = [index for index in undecided if progress.replies[index] is None]
            if not undecided:
                break
        return progress

    async def _apply_part(
        self, name: str, operations: Sequence[ClaimOperation], cached: PartSnapshot | None
    ) -> tuple[MergeResult, PartSnapshot] | None:
        """Apply `operations` to one part.

        Return None if the store does not respond in time or the stored part is malformed. A
        decision is valid only if it is based on records that are confirmed as current: by a
        conditional update that succeeds, or by a read within this call. The exception is a sealed
        part without any of the keys, since it stays without them.
        """
        backoff = _Backoff(self._clock, self._clock.monotonic() + PART_TIMEOUT_S)
        snapshot = cached
        while True:
            is_fresh = snapshot is None
            snapshot = snapshot or await self._read(name, backoff)
            if snapshot is None:
                return None
            merged = merge(snapshot.part, operations, self._clock.wall())
            if not merged.is_changed and (is_fresh or _is_excluded_by_seal(snapshot, merged)):
                return merged, snapshot
            if merged.is_changed:
                write = self._write(name, merged, snapshot.version, len(operations))
                written = await backoff.with_deadline(write)
                if written.is_ok():
                    return merged, PartSnapshot(written.ok, merged.part)
                if not await backoff.wait(written.error, name):
                    return None
            # The write may have taken effect although its response was lost. The next iteration
            # reads and merges again: it finds the nonces of this batch in the records, or adds
            # them.
            snapshot = None

    async def _read(self, name: str, backoff: _Backoff) -> PartSnapshot | None:
        """Return a part as stored, or None if it can't be read in time or is malformed."""
        found = await backoff.with_deadline(self._platform.read(name))
        while found.is_error():
            if not await backoff.wait(found.error, name):
                return None
            found = await backoff.with_deadline(self._platform.read(name))
        part = decode_part(found.ok.value)
        if part.is_error():
            emit(CLAIM_OBJECT_INVALID, object=name, reason=part.error)
            return None
        return PartSnapshot(found.ok.version, part.ok)

    async def _write(
        self, name: str, merged: MergeResult, expected: int, operation_count: int
    ) -> Result[int, StoreError]:
        self._metrics.count(CLAIM_WRITES)
        self._metrics.count(CLAIM_OPERATIONS, operation_count)
        return await self._platform.write(name, encode_part(merged.part), expected)


def _is_excluded_by_seal(snapshot: PartSnapshot, merged: MergeResult) -> bool:
    """Return whether the part is sealed and contains none of the keys.

    This decision needs no fresh read: a sealed part never takes new keys.
    """
    return snapshot.part.sealed and all(reply is None for reply in merged.replies)
