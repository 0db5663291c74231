"""A timer that reports when a connection has been idle past its time-out."""

import asyncio
from collections.abc import Callable

from almondspindle.core.clock import Clock
from almondspindle.decisions.idle_timeout import CONFIRM_DELAY_S, IdleMonitor, IdleTimeouts

MIN_DELAY_S = 0.001


class IdleTimer:
    """Detect that a response has stalled, and call `on_timeout`.

    A single timer serves the whole response, because a timer for each chunk would be costly.
    """

    def __init__(self, bounds: IdleTimeouts, clock: Clock, on_timeout: Callable[[], None]) -> None:
        self._watch = IdleMonitor(bounds)
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

    def start_waiting(self) -> None:
        """Start counting idle time: the reader waits for bytes from now on."""
        self._watch.start_waiting(self._clock.monotonic())

    def note_progress(self) -> None:
        """Stop counting idle time: bytes were received and the reader is processing them."""
        self._watch.note_progress()

    def _check(self) -> None:
        now = self._clock.monotonic()
        if self._watch.remaining_s(now) > 0:
            self._schedule_check(max(self._watch.next_check_s(now), MIN_DELAY_S))
        elif self._watch.confirm_idle(now):
            self.fired = True
            self._on_timeout()
        else:
            self._schedule_check(CONFIRM_DELAY_S)

    def _schedule_check(self, delay_s: float) -> None:
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._check)
