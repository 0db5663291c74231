"""The idle timer does not fire for bytes that arrived while the event loop was late."""

import asyncio
import socket

import pytest

from almondspindle.core.clock import SystemClock
from almondspindle.decisions.idle_timeout import CONFIRM_DELAY_S, IdleMonitor, IdleTimeouts
from almondspindle.utils.idle_timer import IdleTimer

BOUND_S = 0.01
WAIT_S = 20.0
LATE_S = 2 * CONFIRM_DELAY_S + 0.001


def block_loop(until: float) -> None:
    """Block the event loop until the monotonic clock reaches `until`."""
    while SystemClock().monotonic() < until:
        pass


def test_bytes_received_while_the_loop_was_blocked_prevent_a_timeout():
    async def check() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        timed_out = asyncio.Event()
        timer = IdleTimer(IdleTimeouts(BOUND_S, BOUND_S), SystemClock(), timed_out.set)
        with ours, theirs, timer:
            reading = asyncio.ensure_future(loop.sock_recv(ours, 1))
            await asyncio.sleep(0)
            theirs.send(b"x")
            block_loop(SystemClock().monotonic() + 2 * BOUND_S)
            assert await asyncio.wait_for(reading, WAIT_S) == b"x"
            timer.note_progress()
            assert not timer.fired
            timer.start_waiting()
            await asyncio.wait_for(timed_out.wait(), WAIT_S)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("checks", "expected"),
    [
        ([0.0], False),
        ([0.0, CONFIRM_DELAY_S], True),
        ([0.0, LATE_S], False),
        ([0.0, LATE_S, 2 * LATE_S], False),
        ([0.0, LATE_S, LATE_S + CONFIRM_DELAY_S], True),
        ([0.0, "progress", CONFIRM_DELAY_S], False),
    ],
)
def test_idle_is_certain_only_after_two_checks_in_time(checks, expected):
    monitor = IdleMonitor(IdleTimeouts(BOUND_S, BOUND_S))
    is_certain = False
    for check in checks:
        if check == "progress":
            monitor.note_progress()
        else:
            is_certain = monitor.confirm_idle(check)
    assert is_certain is expected
