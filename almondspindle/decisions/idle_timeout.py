"""Detect connections that stay idle for too long while a response is due."""

from dataclasses import dataclass

CONFIRM_DELAY_S = 0.05  # from the check that finds the connection idle to the one that confirms it


@dataclass(frozen=True, slots=True)
class IdleTimeouts:
    """The longest times without a byte while a response is due, in seconds.

    `repeat_s` is that after a time-out at which the reader waits on, if it is another one.
    """

    first_byte_s: float
    between_bytes_s: float
    repeat_s: float | None = None


@dataclass(slots=True)
class IdleMonitor:
    """Measure the idle time while waiting for the next bytes of one response.

    Time during which the reader itself is busy does not count, for example with a slow caller.
    """

    timeouts: IdleTimeouts
    waiting_since: float | None = None
    has_begun: bool = False
    suspected_at: float | None = None
    is_repeated: bool = False  # whether there was a time-out since the last progress

    def start_waiting(self, now: float) -> None:
        """Record that the reader waits for bytes from `now` on."""
        self.waiting_since = now

    def note_progress(self) -> None:
        """Record that bytes were received and that the reader is processing them."""
        self.has_begun = True
        self.is_repeated = False
        self.suspected_at = None
        self.waiting_since = None

    def restart(self, now: float) -> None:
        """Record that the reader waits on, or is busy, after a time-out."""
        self.is_repeated = True
        self.suspected_at = None
        if self.waiting_since is not None:
            self.start_waiting(now)

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the connection counts as idle, 0 or less if it already does."""
        timeout_s = self._timeout_s()
        if self.waiting_since is None:
            return timeout_s
        return self.waiting_since + timeout_s - now

    def _timeout_s(self) -> float:
        if self.is_repeated and self.timeouts.repeat_s is not None:
            return self.timeouts.repeat_s
        return self.timeouts.between_bytes_s if self.has_begun else self.timeouts.first_byte_s

    def next_check_s(self, now: float) -> float:
        """Return the seconds until the next check.

        Once the first byte is received, the time-out may become shorter. So the result is never
        longer than the time-out between bytes.
        """
        return min(self.remaining_s(now), self.timeouts.between_bytes_s)

    def confirm_idle(self, now: float) -> bool:
        """Return whether the connection is certainly idle, given that this check found it idle.

        A reader that lags behind may not have processed bytes that were already received. So a
        second check must find the connection idle, too, and must not be late: a late check shows
        that the reader still lags behind.
        """
        if self.suspected_at is not None and now - self.suspected_at <= 2 * CONFIRM_DELAY_S:
            return True
        self.suspected_at = now
        return False
