"""Whether a connection that owes an answer has gone silent."""

from dataclasses import dataclass

CONFIRM_DELAY_S = 0.05  # from the look that finds silence to the one that confirms it


@dataclass(frozen=True, slots=True)
class IdleTimeouts:
    """The longest times without a byte while an answer is due, in seconds."""

    first_byte_s: float
    between_bytes_s: float


@dataclass(slots=True)
class IdleMonitor:
    """Follow the waits for the next bytes of one answer.

    Time in which the reader itself is busy, say with a slow caller, does not count.
    """

    timeouts: IdleTimeouts
    waiting_since: float | None = None
    has_begun: bool = False
    suspected_at: float | None = None

    def start_waiting(self, now: float) -> None:
        """Note that the reader waits for bytes from `now` on."""
        self.waiting_since = now

    def note_progress(self) -> None:
        """Note that bytes came and that the reader is busy with them."""
        self.has_begun = True
        self.suspected_at = None
        self.waiting_since = None

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the connection counts as silent; 0 or less when it does."""
        bound_s = self.timeouts.between_bytes_s if self.has_begun else self.timeouts.first_byte_s
        if self.waiting_since is None:
            return bound_s
        return self.waiting_since + bound_s - now

    def next_check_s(self, now: float) -> float:
        """Return the seconds after which to look again.

        The first bytes may shorten the bound, so a look never waits longer than the shorter one.
        """
        return min(self.remaining_s(now), self.timeouts.between_bytes_s)

    def confirm_idle(self, now: float) -> bool:
        """Return whether silence that this look found is certain.

        Bytes may have come that a reader who is behind has not yet taken. So a second look must
        find silence too, and come in time: a late one shows that the reader is still behind.
        """
        if self.suspected_at is not None and now - self.suspected_at <= 2 * CONFIRM_DELAY_S:
            return True
        self.suspected_at = now
        return False
