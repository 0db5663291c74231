"""Whether this host's view of the cluster is recent enough for it to claim ownership."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName

PROBE_WINDOW = 6  # number of most recent probe results considered
MIN_PROBE_RESULTS = 4  # with fewer results a partition is never assumed
MISSES_BEFORE_LIST_READ = 2
MIN_PROBED_HOSTS = 3  # with fewer hosts probed, one dead host looks like a partition
MIN_ANSWERED_SHARE = 0.5  # below this share of answered probes the host is partitioned


class OwnershipStatus(StrEnum):
    """Whether a host may claim ownership and, if not, why."""

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
    """This host's recent contact with its peers and the platform.

    A host whose process was paused for longer than the suspicion timeout has been declared dead by
    the others. Before it claims ownership again, it must reach one of them or the platform.
    `resumed_at` is the end of such a pause, None once there was contact after it. Times are in
    seconds on the monotonic clock.
    """

    last_tick_at: float
    list_read_at: float | None = None
    resumed_at: float | None = None
    results: deque[ProbeResult] = field(default_factory=lambda: deque(maxlen=PROBE_WINDOW))

    def tick(self, now: float, limit_s: float) -> None:
        """Record that the process is running. A gap longer than `limit_s` counts as a pause."""
        if now - self.last_tick_at > limit_s:
            self.resumed_at = now
            self.results.clear()
        self.last_tick_at = now

    def record_probe(self, host: HostName, answered: bool, sent_at: float) -> None:
        """Record the result of a probe that was sent at `sent_at`."""
        self.results.append(ProbeResult(host, answered))
        if answered and self.resumed_at is not None and sent_at >= self.resumed_at:
            self.resumed_at = None

    def record_list_read(self, requested_at: float, now: float) -> None:
        """Record a successful read of the platform's list that was requested at `requested_at`."""
        self.list_read_at = now
        if self.resumed_at is not None and requested_at >= self.resumed_at:
            self.resumed_at = None

    def needs_list_read(self) -> bool:
        """Return whether enough probes were missed to read the platform's list."""
        return sum(not result.answered for result in self.results) >= MISSES_BEFORE_LIST_READ

    def is_partitioned(self) -> bool:
        """Return whether most of the recent probes were not answered."""
        hosts = {result.host for result in self.results}
        if len(self.results) < MIN_PROBE_RESULTS or len(hosts) < MIN_PROBED_HOSTS:
            return False
        answered = sum(result.answered for result in self.results)
        return answered < MIN_ANSWERED_SHARE * len(self.results)

    def ownership_status(self, now: float, limit_s: float) -> OwnershipStatus:
        """Return whether this host may claim ownership, and if not, why.

        `limit_s` is the suspicion timeout. Peers that do not answer may all have died. A list read
        from the platform within `limit_s` shows that this host is not the partitioned one.
        """
        if self.resumed_at is not None or now - self.last_tick_at > limit_s:
            return OwnershipStatus.PAUSED
        has_recent_list = self.list_read_at is not None and now - self.list_read_at <= limit_s
        if self.is_partitioned() and not has_recent_list:
            return OwnershipStatus.PARTITIONED
        return OwnershipStatus.OWNING
