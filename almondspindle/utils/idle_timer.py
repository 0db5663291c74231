"""A timer that reports when a connection has been idle past its time-out."""

import asyncio
from collections.abc import Callable

from almondspindle.core.clock import Clock
from almondspindle.decisions.idle_timeout import CONFIRM_DELAY_S, IdleMonitor, IdleTimeouts

MIN_DELAY_S = 0.001


def _ignore() -> None:
    pass


class IdleTimer:
    """Detect that a response has stalled, and call `on_timeout`.

    A single timer serves the whole response, because a timer for each chunk would be costly.
    """

    def __init__(
        self, timeouts: IdleTimeouts, clock: Clock, on_timeout: Callable[[], None]
    ) -> None:
        self._monitor = IdleMonitor(timeouts)
        self._clock = clock
        self._on_timeout = on_timeout
        self._handle: asyncio.TimerHandle | None = None
        self.fired = False

    def __enter__(self) -> "IdleTimer":
        self.start_waiting()
        self._check()
        return self

    def __exit__(self, *exc: object) -> None:
        if self._handle is not None:
            self._handle.cancel()
        # It may refer to this timer, and to a response that would then outlive its request.
        self._on_timeout = _ignore

    def start_waiting(self) -> None:
        """Start counting idle time: the reader waits for bytes from now on."""
        self._monitor.start_waiting(self._clock.monotonic())

    def restart(self) -> None:
        """Count idle time anew after the time-out, since the reader waits on or is busy."""
        self.fired = False
        self._monitor.restart(self._clock.monotonic())
        self._check()

    def note_progress(self) -> None:
        """Stop counting idle time: bytes were received and the reader is processing them."""
        self._monitor.note_progress()

    def _check(self) -> None:
        now = self._clock.monotonic()
        if self._monitor.remaining_s(now) > 0:
            self._schedule_check(max(self._monitor.next_check_s(now), MIN_DELAY_S))
        elif self._monitor.confirm_idle(now):
            self.fired = True
            self._on_timeout()
        else:
            self._schedule_check(CONFIRM_DELAY_S)

    def _schedule_check(self, delay_s: float) -> None:
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._check)
