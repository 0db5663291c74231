"""Messages of the tasks that keep claims."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from almondspindle.controllers.base import Question
from almondspindle.core.claims import ClaimReply, Settle
from almondspindle.decisions.claim_keys import Segment
from almondspindle.decisions.claims import ClaimOperation, PartRecords


@dataclass(frozen=True, slots=True)
class Submit:
    """A change for the store. The decision goes into `fut`; a cancelled `fut` withdraws it."""

    change: ClaimOperation
    fut: "asyncio.Future[ClaimReply]"


@dataclass(frozen=True, slots=True)
class PartView:
    """A part of a segment as it stood in the store at `version`."""

    version: int
    part: PartRecords


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes to apply to a segment, and the parts as they were last seen."""

    changes: Sequence[ClaimOperation]
    views: Mapping[int, PartView]


@dataclass(frozen=True, slots=True)
class TakeBatch(Question["Batch | None"]):
    """Ask for what has gathered for a segment; None where nothing is to be written now.

    The asker sends `BatchApplied` afterwards.
    """

    segment: Segment


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The decisions on a batch, in its order, and the parts as the store has them now."""

    segment: Segment
    replies: Sequence[ClaimReply]
    views: Mapping[int, PartView]


@dataclass(frozen=True, slots=True)
class Round:
    """A segment has changes; write them at `start_at` (seconds, monotonic)."""

    segment: Segment
    start_at: float


@dataclass(frozen=True, slots=True)
class Unsettled:
    """An attempt has ended at this entry; keep telling the store until it is recorded."""

    settle: Settle
    tries: int = 0


@dataclass(frozen=True, slots=True)
class SettleTried:
    """A try to record an ending is over."""

    unsettled: Unsettled
    is_recorded: bool
