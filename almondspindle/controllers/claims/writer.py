"""Apply batches of claims to the store by conditional updates."""

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
    PartView,
    Round,
    TakeBatch,
)
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.core.claims import ClaimReply, Decision
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    CLAIM_BATCH_GIVEN_UP,
    CLAIM_OBJECT_INVALID,
    CLAIM_WRITE_FAILED,
)
from almondspindle.core.logs import emit
from almondspindle.core.metrics import CLAIM_CHANGES, CLAIM_WRITES, MetricSender
from almondspindle.core.outcomes import Error, Result
from almondspindle.decisions.claim_keys import Segment
from almondspindle.decisions.claims import ClaimOperation, MergeResult, merge
from almondspindle.utils.tasks import TaskSet

T = TypeVar("T")

GIVE_UP_AFTER_S = 2.5  # time for one part of a batch, all its tries together
PAUSE_S = 0.05  # longest pause after the first failed call; doubles with each one
MAX_PAUSE_S = 0.5
MAX_PARTS = 64


@dataclass(slots=True)
class _Tries:
    """The end of the time for a part, and the pauses between failed calls."""

    clock: Clock
    ends_at: float
    failures: int = 0

    async def bounded(self, call: Awaitable[Result[T, StoreError]]) -> Result[T, StoreError]:
        """Return what `call` gives, or UNAVAILABLE when the time for the part is up first.

        A write that is no longer awaited may still take effect; its condition keeps it harmless.
        """
        left_s = max(0.0, self.ends_at - self.clock.monotonic())
        try:
            return await asyncio.wait_for(call, left_s)
        except TimeoutError:
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, "no answer within the time"))

    async def pause(self, error: StoreError, name: str) -> bool:
        """Wait after a failed call; return False when the time is up."""
        emit(CLAIM_WRITE_FAILED, object=name, code=error.code, reason=error.message)
        longest = min(MAX_PAUSE_S, PAUSE_S * 2**self.failures)
        self.failures += 1
        pause_s = random.uniform(0.0, longest)
        if self.clock.monotonic() + pause_s >= self.ends_at:
            return False
        await asyncio.sleep(pause_s)
        return True


@dataclass(slots=True)
class _Progress:
    """The decisions so far, and the parts as the store has them."""

    replies: list[ClaimReply | None]
    views: dict[int, PartView] = field(default_factory=dict)


class SegmentWriter:
    """Write rounds as they come due; segments go side by side, each has one write in flight."""

    def __init__(
        self, platform: Platform, controller: ClaimsController, clock: Clock, metrics: MetricSender
    ) -> None:
        self._platform = platform
        self._controller = controller
        self._clock = clock
        self._metrics = metrics
        self._tasks = TaskSet()

    async def run(self) -> None:
        """Write until cancelled. A failed round ends this task with it."""
        failed = asyncio.ensure_future(self._tasks.wait_failed())
        feed = asyncio.ensure_future(self._feed())
        try:
            await asyncio.wait({failed, feed}, return_when=asyncio.FIRST_COMPLETED)
            raise RuntimeError("a round of claims failed")
        finally:
            failed.cancel()
            feed.cancel()
            await self._tasks.cancel_all()

    async def _feed(self) -> None:
        while True:
            due = await self._controller.rounds.get()
            self._tasks.start(f"claims-{due.segment}", self._write_round(due))

    async def _write_round(self, due: Round) -> None:
        await asyncio.sleep(due.start_at - self._clock.monotonic())
        batch = await self._controller.ask(TakeBatch(due.segment))
        if batch is None:
            return
        progress = await self._apply(due.segment, batch)
        given_up = ClaimReply(Decision.UNAVAILABLE, reason="the store gave no result in time")
        replies = [reply or given_up for reply in progress.replies]
        self._controller.tell(BatchApplied(due.segment, replies, progress.views))

    async def _apply(self, segment: Segment, batch: Batch) -> _Progress:
        """Apply the batch part after part, until each change has found its part."""
        progress = _Progress([None] * len(batch.changes))
        left = list(range(len(batch.changes)))
        for number in range(MAX_PARTS):
            name = segment.object_name(number)
            changes = [batch.changes[index] for index in left]
            done = await self._apply_part(name, changes, batch.views.get(number))
            if done is None:
                emit(CLAIM_BATCH_GIVEN_UP, object=name, changes=len(changes))
                break
            merged, progress.views[number] = done
            for index, reply in zip(left, merged.replies, strict=True):
                progress.replies[index] = reply
            left = [index for index in left if progress.replies[index] is None]
            if not left:
                break
        return progress

    async def _apply_part(
        self, name: str, changes: Sequence[ClaimOperation], cached: PartView | None
    ) -> tuple[MergeResult, PartView] | None:
        """Return the decisions on `changes`, or None when the store gave no result in time.

        A decision counts only if the records that it rests on are the store's own: by a
        conditional update of just these, or by a reading within this call.
        """
        tries = _Tries(self._clock, self._clock.monotonic() + GIVE_UP_AFTER_S)
        view = cached
        while True:
            is_fresh = view is None
            view = view or await self._read(name, tries)
            if view is None:
                return None
            merged = merge(view.part, changes, self._clock.wall())
            if not merged.is_changed and (is_fresh or _rests_on_sealed(view, merged)):
                return merged, view
            if merged.is_changed:
                write = self._write(name, merged, view.version, len(changes))
                written = await tries.bounded(write)
                if written.is_ok():
                    return merged, PartView(written.ok, merged.part)
                if not await tries.pause(written.error, name):
                    return None
            # The write may have taken effect with its answer lost. Reading back and merging once
            # more finds the nonces of this batch in the records, or the room to write them.
            view = None

    async def _read(self, name: str, tries: _Tries) -> PartView | None:
        """Return a part as the store has it, or None when there is none to be had in time."""
        found = await tries.bounded(self._platform.read(name))
        while found.is_error():
            if not await tries.pause(found.error, name):
                return None
            found = await tries.bounded(self._platform.read(name))
        part = decode_part(found.ok.value)
        if part.is_error():
            emit(CLAIM_OBJECT_INVALID, object=name, reason=part.error)
            return None
        return PartView(found.ok.version, part.ok)

    async def _write(
        self, name: str, merged: MergeResult, expected: int, changes: int
    ) -> Result[int, StoreError]:
        self._metrics.count(CLAIM_WRITES)
        self._metrics.count(CLAIM_CHANGES, changes)
        return await self._platform.write(name, encode_part(merged.part), expected)


def _rests_on_sealed(view: PartView, merged: MergeResult) -> bool:
    """Return whether all that was decided is that a sealed part holds none of the keys."""
    return view.part.sealed and all(reply is None for reply in merged.replies)
