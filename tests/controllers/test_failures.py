"""An exception in a handler costs what the controller states, and leaves no requester waiting."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

import pytest

from almondspindle.controllers.base import (
    MAX_FAILURES_IN_SUCCESSION,
    Controller,
    ControllerRequest,
    MessageFailed,
    OnException,
)
from almondspindle.controllers.placement.messages import SelectTarget
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.view.messages import TargetsChanged
from almondspindle.core.clock import ManualClock
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.utils import tasks
from almondspindle.utils.tasks import RestartingRunner
from tests.controllers.test_placement import make_cfg, make_target

WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Add(ControllerRequest[int]):
    """Request to add `amount` to the sum. Amounts below 0 raise, and 0 does if the sum isn't 0."""

    amount: int


class Sums(Controller):
    """Own a sum."""

    def __init__(self, on_exception: OnException) -> None:
        super().__init__(ManualClock())
        self.on_exception = on_exception
        self.reset()

    def reset(self) -> None:
        self.sum = 0

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: Add, now: float) -> int:
        if msg.amount < 0 or (msg.amount == 0 and self.sum):
            raise KeyError(msg.amount)
        self.sum += msg.amount
        return self.sum


def play(on_exception: OnException, check) -> None:
    async def run() -> None:
        sums = Sums(on_exception)
        task = asyncio.ensure_future(sums.run())
        async with asyncio.timeout(WAIT_S):
            await check(sums, task)
        task.cancel()

    asyncio.run(run())


def test_a_message_that_raises_is_dropped_and_the_controller_goes_on():
    async def check(sums: Sums, task: asyncio.Task) -> None:
        assert await sums.request(Add(2)) == 2
        with pytest.raises(MessageFailed):
            await sums.request(Add(-1))
        assert await sums.request(Add(3)) == 5

    play(OnException.DROP, check)


def test_a_message_that_raises_on_the_state_is_handled_again_without_it():
    async def check(sums: Sums, task: asyncio.Task) -> None:
        assert await sums.request(Add(2)) == 2
        assert await sums.request(Add(0)) == 0
        with pytest.raises(MessageFailed):
            await sums.request(Add(-1))
        assert await sums.request(Add(3)) == 3

    play(OnException.RESET, check)


@pytest.mark.parametrize(
    ("on_exception", "failures"),
    [(OnException.END, 1), (OnException.DROP, MAX_FAILURES_IN_SUCCESSION)],
)
def test_requests_to_a_controller_that_has_ended_fail_at_once(on_exception, failures):
    async def check(sums: Sums, task: asyncio.Task) -> None:
        requests = [asyncio.ensure_future(sums.request(Add(-1))) for _ in range(failures + 1)]
        results = await asyncio.gather(*requests, return_exceptions=True)
        assert {type(result) for result in results} == {MessageFailed}
        with pytest.raises(KeyError):
            await task
        with pytest.raises(MessageFailed):
            await sums.request(Add(1))
        sums.send(Add(1))

    play(on_exception, check)


def test_a_reservation_of_a_requester_that_is_gone_may_fail():
    async def check(sums: Sums, task: asyncio.Task) -> None:
        released = []
        for amount in (-1, 1):
            request = sums.request_reservation(Add(amount), released.append)
            requester = asyncio.ensure_future(request)
            await asyncio.sleep(0)
            requester.cancel()
        await sums.request(Add(1))
        await asyncio.sleep(0)
        assert released == [1]

    play(OnException.DROP, check)


def test_the_known_targets_are_used_after_a_list_that_raises():
    """A list that raised in its middle left the targets before that point only."""
    placement = PlacementController(make_cfg(), ManualClock())
    known = {name: make_target(name) for name in (TargetName("t1"), TargetName("t2"))}
    placement.handle(TargetsChanged(known), 1.0)
    bad = {"t3": make_target("t3"), "t4": make_target("t4", cold_left_s="long")}
    with pytest.raises(TypeError):
        placement.handle(TargetsChanged(bad), 2.0)
    wanted = SelectTarget(ServiceName("s"), "", "r-1", ())
    assert placement.handle(wanted, 3.0).ok.target in known


def test_a_runner_that_raises_is_run_again(monkeypatch):
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)
    runs = []

    class Runner:
        async def run(self) -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise KeyError

    asyncio.run(RestartingRunner("runner", Runner()).run())
    assert runs == [0, 1, 2]
