"""A loop that is behind must not take what has arrived for silence."""

import asyncio
import socket

import pytest

from almondspindle.core.clock import SystemClock
from almondspindle.decisions.idle_timeout import CONFIRM_DELAY_S, IdleMonitor, IdleTimeouts
from almondspindle.utils.idle_timer import IdleTimer

BOUND_S = 0.01
WAIT_S = 20.0
LATE_S = 2 * CONFIRM_DELAY_S + 0.001


def block(until: float) -> None:
    """Keep the loop busy until its clock shows `until`."""
    while SystemClock().monotonic() < until:
        pass


def test_bytes_that_came_while_the_loop_was_behind_are_no_silence():
    async def check() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        silent = asyncio.Event()
        timer = IdleTimer(IdleTimeouts(BOUND_S, BOUND_S), SystemClock(), silent.set)
        with ours, theirs, timer:
            reading = asyncio.ensure_future(loop.sock_recv(ours, 1))
            await asyncio.sleep(0)
            theirs.send(b"x")
            block(SystemClock().monotonic() + 2 * BOUND_S)
            assert await asyncio.wait_for(reading, WAIT_S) == b"x"
            timer.note_progress()
            assert not timer.fired
            timer.start_waiting()
            await asyncio.wait_for(silent.wait(), WAIT_S)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("looks", "certain"),
    [
        ([0.0], False),
        ([0.0, CONFIRM_DELAY_S], True),
        ([0.0, LATE_S], False),
        ([0.0, LATE_S, 2 * LATE_S], False),
        ([0.0, LATE_S, LATE_S + CONFIRM_DELAY_S], True),
        ([0.0, "progress", CONFIRM_DELAY_S], False),
    ],
)
def test_silence_is_certain_only_after_two_looks_in_time(looks, certain):
    watch = IdleMonitor(IdleTimeouts(BOUND_S, BOUND_S))
    seen = False
    for look in looks:
        if look == "progress":
            watch.record_bytes()
        else:
            seen = watch.confirm_idle(look)
    assert seen is certain
