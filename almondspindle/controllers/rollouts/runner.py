"""The task that advances roll-outs and writes their status to the store."""

import asyncio
from typing import Protocol

from almondspindle.adapters.platform.base import StoreError
from almondspindle.controllers.placement.messages import GetOldVersionLoads
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.rollouts.messages import (
    AdvanceRollouts,
    RolloutStored,
    StatusReport,
)
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.core.events import ROLLOUT_STATUS_WRITTEN, ROLLOUT_WRITE_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Result
from almondspindle.core.rollouts import RolloutKey, RolloutRecord, RolloutState

ADVANCE_INTERVAL_S = 0.2  # as reports: evidence doesn't change faster


class RolloutStore(Protocol):
    """Client for the roll-outs in the store."""

    async def report_rollout(
        self, name: str, key: RolloutKey, state: RolloutState
    ) -> Result[RolloutRecord | None, StoreError]:
        """Write `state`, unless the record is another one or has an outcome; return the record."""
        ...


class RolloutRunner:
    """Advance the roll-outs every `ADVANCE_INTERVAL_S` seconds, and do the writes that are due.

    Writes run in tasks of their own, so that a store that doesn't respond delays no decision.
    """

    def __init__(
        self, rollouts: RolloutsController, placement: PlacementController, store: RolloutStore
    ) -> None:
        self._rollouts = rollouts
        self._placement = placement
        self._store = store
        self._writing: set[str] = set()

    async def run(self) -> None:
        """Advance the roll-outs until cancelled."""
        self._writing.clear()
        async with asyncio.TaskGroup() as writes:
            while True:
                await asyncio.sleep(ADVANCE_INTERVAL_S)
                loads = await self._placement.request(GetOldVersionLoads())
                for report in await self._rollouts.request(AdvanceRollouts(loads)):
                    if report.name not in self._writing:
                        self._writing.add(report.name)
                        writes.create_task(self._write(report))

    async def _write(self, report: StatusReport) -> None:
        result = await self._store.report_rollout(report.name, report.key, report.state)
        self._writing.discard(report.name)
        service, version = report.key.service, report.key.version
        if result.is_error():
            emit(
                ROLLOUT_WRITE_FAILED,
                service=service,
                version=version,
                state=report.state,
                reason=result.error.message,
            )
            return
        stored = result.ok.state if result.ok else None
        emit(
            ROLLOUT_STATUS_WRITTEN,
            service=service,
            version=version,
            state=report.state,
            stored=stored,
        )
        self._rollouts.send(RolloutStored(report.name, result.ok))
