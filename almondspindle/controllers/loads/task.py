"""The controller that runs one poller for each owned target that reports its load."""

import asyncio
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.loads.messages import PollSoon, PollTargets
from almondspindle.controllers.loads.poller import LoadListener, LoadReportClient, TargetPoller
from almondspindle.core.clock import Clock
from almondspindle.core.identifiers import TargetName
from almondspindle.core.roster import Target
from almondspindle.utils.tasks import TaskSet


class LoadsController(Controller):
    """Own the pollers and their tasks; start and stop them as owned targets change."""

    def __init__(
        self,
        clock: Clock,
        tasks: TaskSet,
        client: LoadReportClient,
        interval_s: float,
        listener: LoadListener,
    ) -> None:
        super().__init__(clock)
        self._tasks = tasks
        self._client = client
        self._interval_s = interval_s
        self._listener = listener
        self._pollers: dict[TargetName, TargetPoller] = {}
        self._poller_tasks: dict[TargetName, asyncio.Task[Any]] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message of the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: PollTargets, now: float) -> None:
        wanted = {owned.target.name: owned.target for owned in msg.targets if owned.answers_polls}
        for name, poller in list(self._pollers.items()):
            if name not in wanted or wanted[name].address != poller.target.address:
                self._stop(name)
        for name, target in wanted.items():
            if name not in self._pollers:
                self._start(target)

    @handle.register
    def _(self, msg: PollSoon, now: float) -> None:
        poller = self._pollers.get(msg.target)
        if poller is not None:
            poller.poll_soon()

    def _start(self, target: Target) -> None:
        poller = TargetPoller(target, self._client, self._clock, self._interval_s, self._listener)
        self._pollers[target.name] = poller
        self._poller_tasks[target.name] = self._tasks.start(f"load-{target.name}", poller.run())

    def _stop(self, name: TargetName) -> None:
        del self._pollers[name]
        self._poller_tasks.pop(name).cancel()
