"""A timer that calls back when a connection has gone silent."""

import asyncio
from collections.abc import Callable

from almondspindle.core.clock import Clock
from almondspindle.decisions.idle_timeout import CONFIRM_DELAY_S, IdleMonitor, IdleTimeouts

MIN_PAUSE_S = 0.001


class IdleTimer:
    """Follow one answer with a single timer, so that a part costs no timer of its own."""

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
        """Note that the reader waits for bytes from now on."""
        self._watch.start_wait(self._clock.monotonic())

    def note_progress(self) -> None:
        """Note that bytes came and that the reader is busy with them."""
        self._watch.record_bytes()

    def _check(self) -> None:
        now = self._clock.monotonic()
        if self._watch.remaining_s(now) > 0:
            self._check_after(max(self._watch.next_check_s(now), MIN_PAUSE_S))
        elif self._watch.confirm_idle(now):
            self.fired = True
            self._on_timeout()
        else:
            self._check_after(CONFIRM_DELAY_S)

    def _check_after(self, pause_s: float) -> None:
        self._handle = asyncio.get_running_loop().call_later(pause_s, self._check)
