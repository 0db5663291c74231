"""Whether this host's view is good enough to claim ownership by."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName

PROBE_WINDOW = 6  # results of the last probes that count
MIN_PROBE_RESULTS = 4  # with fewer results there is no verdict
MISSES_BEFORE_LIST_READ = 2
MIN_PROBED_HOSTS = 3  # with fewer hosts probed, one that died looks like a cut
MIN_ANSWERED_SHARE = 0.5  # share of probes that must have been answered


class OwnershipStatus(StrEnum):
    """Why a host may or may not claim ownership."""

    OWNING = "owning"
    PAUSED = "paused"
    PARTITIONED = "cut off"
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

    last_tick_at: float
    list_read_at: float | None = None
    resumed_at: float | None = None
    results: deque[ProbeResult] = field(default_factory=lambda: deque(maxlen=PROBE_WINDOW))

    def tick(self, now: float, limit_s: float) -> None:
        """Note that the process runs; a gap above `limit_s` is a pause."""
        if now - self.last_tick_at > limit_s:
            self.resumed_at = now
            self.results.clear()
        self.last_tick_at = now

    def record_probe(self, host: HostName, answered: bool, sent_at: float) -> None:
        """Note the result of a probe that was sent at `sent_at`."""
        self.results.append(ProbeResult(host, answered))
        if answered and self.resumed_at is not None and sent_at >= self.resumed_at:
            self.resumed_at = None

    def record_list_read(self, requested_at: float, now: float) -> None:
        """Note a successful reading of the platform's list that was asked for at `asked_at`."""
        self.list_read_at = now
        if self.resumed_at is not None and requested_at >= self.resumed_at:
            self.resumed_at = None

    def needs_list_read(self) -> bool:
        """Return whether enough probes were missed to ask the platform for its list."""
        return sum(not result.answered for result in self.results) >= MISSES_BEFORE_LIST_READ

    def is_partitioned(self) -> bool:
        """Return whether most of the last probes went unanswered."""
        hosts = {result.host for result in self.results}
        if len(self.results) < MIN_PROBE_RESULTS or len(hosts) < MIN_PROBED_HOSTS:
            return False
        answered = sum(result.answered for result in self.results)
        return answered < MIN_ANSWERED_SHARE * len(self.results)

    def ownership_status(self, now: float, limit_s: float) -> OwnershipStatus:
        """Return whether this host may claim ownership.

        Peers that do not answer may all have died; a fresh reading of the platform's list
        tells that this host at least is not the one that is cut off from everything.
        """
        if self.resumed_at is not None or now - self.last_tick_at > limit_s:
            return OwnershipStatus.PAUSED
        has_list = self.list_read_at is not None and now - self.list_read_at <= limit_s
        if self.is_partitioned() and not has_list:
            return OwnershipStatus.PARTITIONED
        return OwnershipStatus.OWNING
