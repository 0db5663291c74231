"""Notice when the event loop stands still."""

import asyncio

from almondspindle.core.clock import Clock
from almondspindle.core.events import LOOP_STALLED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import LOOP_STALLS, MetricSender
from almondspindle.core.steps import MAX_STEP_S

CHECK_INTERVAL_S = 0.25


class LoopMonitor:
    """Log and count the times for which the event loop ran no task.

    The cause is a slow step of the process, of which `TimedStep` may say which, or a host that gave
    the process no processor.
    """

    def __init__(self, clock: Clock, metrics: MetricSender) -> None:
        self._clock = clock
        self._metrics = metrics

    async def run(self) -> None:
        """Check every `CHECK_INTERVAL_S` seconds until cancelled."""
        while True:
            due_at = self._clock.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = self._clock.monotonic() - due_at
            if late_s >= MAX_STEP_S:
                self._metrics.count(LOOP_STALLS)
                emit(LOOP_STALLED, for_s=round(late_s, 3))
