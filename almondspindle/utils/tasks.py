"""Run the long-lived tasks of a process and detect their failures."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any, Protocol

from almondspindle.core.events import TASK_FAILED, TASK_RESTARTED
from almondspindle.core.logs import emit

RESTART_DELAY_S = 1.0


class Runner(Protocol):
    """An object with a main loop that runs until it is cancelled."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...


class RestartingRunner:
    """Run `runner` again after an exception. Its state must not outlast a call of `run`."""

    def __init__(self, name: str, runner: Runner) -> None:
        self._name = name
        self._runner = runner

    async def run(self) -> None:
        """Run until the runner returns or this task is cancelled."""
        while True:
            try:
                return await self._runner.run()
            except Exception as exc:
                emit(TASK_RESTARTED, task=self._name, reason=repr(exc))
            await asyncio.sleep(RESTART_DELAY_S)


class TaskSet:
    """The long-lived tasks of a process. `wait_for_failure` returns at the first failure."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failed: asyncio.Future[str] | None = None

    def start(self, name: str, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start `coro` as a task with `name` and return the task."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def start_all(self, runners: Mapping[str, Runner]) -> None:
        """Start each of `runners` as a task named by its key."""
        for name, runner in runners.items():
            self.start(name, runner.run())

    def start_all_restarting(self, runners: Mapping[str, Runner]) -> None:
        """Start each of `runners` as `start_all`, and run it again if it fails."""
        self.start_all({name: RestartingRunner(name, each) for name, each in runners.items()})

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        emit(TASK_FAILED, task=task.get_name(), reason=repr(task.exception()))
        failure = self._failure()
        if not failure.done():
            failure.set_result(task.get_name())

    def _failure(self) -> "asyncio.Future[str]":
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        return self._failed

    async def wait_for_failure(self) -> str:
        """Wait until a task fails and return its name."""
        return await asyncio.shield(self._failure())

    async def cancel_all(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
