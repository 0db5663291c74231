"""Messages of the controllers of claims and settlements."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.core.claims import ClaimReply, SettleRequest
from almondspindle.decisions.claim_keys import Segment
from almondspindle.decisions.claims import ClaimOperation, PartRecords


@dataclass(frozen=True, slots=True)
class SubmitOperation:
    """Decide an operation on a claim and put the reply into `fut`.

    Cancelling `fut` withdraws the operation, unless a batch with it is already being written.
    """

    operation: ClaimOperation
    fut: "asyncio.Future[ClaimReply]"


@dataclass(frozen=True, slots=True)
class PartSnapshot:
    """A part of a segment as stored at `version` of its object."""

    version: int
    part: PartRecords


@dataclass(frozen=True, slots=True)
class Batch:
    """Operations to apply to a segment, and the last known state of its parts by part number."""

    operations: Sequence[ClaimOperation]
    snapshots: Mapping[int, PartSnapshot]


@dataclass(frozen=True, slots=True)
class StartBatch(ControllerRequest["Batch | None"]):
    """Request the waiting operations of a segment, or None if nothing is to be written now.

    The requester reports the result with `BatchApplied`.
    """

    segment: Segment


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The replies to the operations of a batch, in order, and its parts as last known."""

    segment: Segment
    replies: Sequence[ClaimReply]
    snapshots: Mapping[int, PartSnapshot]


@dataclass(frozen=True, slots=True)
class ScheduledWrite:
    """A scheduled write of a segment. `start_at` is in seconds of the monotonic clock."""

    segment: Segment
    start_at: float


@dataclass(frozen=True, slots=True)
class PendingSettlement:
    """The outcome of an attempt at this entry that the store has not recorded yet.

    `failures` counts the failed calls to record it.
    """

    request: SettleRequest
    failures: int = 0


@dataclass(frozen=True, slots=True)
class SettlementResult:
    """The result of one call to record an outcome."""

    pending: PendingSettlement
    is_recorded: bool
