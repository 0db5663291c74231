"""Whether this host's view is good enough to claim ownership by."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName

PROBE_WINDOW = 6  # results of the last probes that count
PROBES_NEEDED = 4  # with fewer results there is no verdict
MISSES_OF_DOUBT = 2
HOSTS_NEEDED = 3  # with fewer hosts probed, one that died looks like a cut
SHARE_NEEDED = 0.5  # share of probes that must have been answered


class Standing(StrEnum):
    """Why a host may or may not claim ownership."""

    OWNING = "owning"
    PAUSED = "paused"
    CUT_OFF = "cut off"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Whether a host answered a probe."""

    host: HostName
    answered: bool


@dataclass(slots=True)
class ViewFreshness:
    """What this host last heard. Times are in seconds on the monotonic clock.

    A host that was paused for longer than the suspicion timeout has been declared dead by the
    others, and must hear from one of them, or from the platform, before it claims anything.
    """

    ticked_at: float
    list_read_at: float | None = None
    woke_at: float | None = None
    results: deque[ProbeResult] = field(default_factory=lambda: deque(maxlen=PROBE_WINDOW))

    def tick(self, now: float, limit_s: float) -> None:
        """Note that the process runs; a gap above `limit_s` is a pause."""
        if now - self.ticked_at > limit_s:
            self.woke_at = now
            self.results.clear()
        self.ticked_at = now

    def probed(self, host: HostName, answered: bool, sent_at: float) -> None:
        """Note the result of a probe that was sent at `sent_at`."""
        self.results.append(ProbeResult(host, answered))
        if answered and self.woke_at is not None and sent_at >= self.woke_at:
            self.woke_at = None

    def list_read(self, asked_at: float, now: float) -> None:
        """Note a successful reading of the platform's list that was asked for at `asked_at`."""
        self.list_read_at = now
        if self.woke_at is not None and asked_at >= self.woke_at:
            self.woke_at = None

    def is_in_doubt(self) -> bool:
        """Return whether enough probes were missed to ask the platform for its list."""
        return sum(not result.answered for result in self.results) >= MISSES_OF_DOUBT

    def is_cut_off(self) -> bool:
        """Return whether most of the last probes went unanswered."""
        hosts = {result.host for result in self.results}
        if len(self.results) < PROBES_NEEDED or len(hosts) < HOSTS_NEEDED:
            return False
        answered = sum(result.answered for result in self.results)
        return answered < SHARE_NEEDED * len(self.results)

    def standing(self, now: float, limit_s: float) -> Standing:
        """Return whether this host may claim ownership.

        Peers that do not answer may all have died; a fresh reading of the platform's list
        tells that this host at least is not the one that is cut off from everything.
        """
        if self.woke_at is not None or now - self.ticked_at > limit_s:
            return Standing.PAUSED
        has_list = self.list_read_at is not None and now - self.list_read_at <= limit_s
        if self.is_cut_off() and not has_list:
            return Standing.CUT_OFF
        return Standing.OWNING
