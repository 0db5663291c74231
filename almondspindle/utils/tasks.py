"""Run the tasks of a process so that none fails unseen."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any, Protocol

from almondspindle.core.events import TASK_FAILED
from almondspindle.core.logs import emit


class Runner(Protocol):
    """Something that runs until it is cancelled."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...


class TaskSet:
    """The long-lived tasks of a process. The first failure ends `wait_failed`."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failed: asyncio.Future[str] | None = None

    def start(self, name: str, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start `coro` as a task called `name` and return the task."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def start_all(self, runners: Mapping[str, Runner]) -> None:
        """Start each of `runners` as a task called by its key."""
        for name, runner in runners.items():
            self.start(name, runner.run())

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        emit(TASK_FAILED, task=task.get_name(), reason=repr(task.exception()))
        fut = self._failure()
        if not fut.done():
            fut.set_result(task.get_name())

    def _failure(self) -> "asyncio.Future[str]":
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        return self._failed

    async def wait_for_failure(self) -> str:
        """Return the name of the first task that failed, once one has."""
        return await asyncio.shield(self._failure())

    async def cancel_all(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
