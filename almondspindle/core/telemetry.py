"""What is measured of each request, and its sums per service."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of whole milliseconds, exact below 256 ms."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)


@dataclass(frozen=True, slots=True)
class RequestMeasurement:
    """One request that has ended.

    `failed` is set when the service, not the caller, is to blame. `first_token_ms` is None where
    nothing was answered or the work is no chat. `gaps_ms` maps the time between two pieces of a
    stream, in whole milliseconds, to how often it occurred.
    """

    service: ServiceName
    work: WorkKind
    failed: bool
    first_token_ms: int | None = None
    gaps_ms: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class ServiceTally:
    """Sums over requests of one service. Histograms are in milliseconds."""

    requests: int = 0
    failed: int = 0
    commits: int = 0
    commits_failed: int = 0
    first_token: HdrHistogram = field(default_factory=new_histogram)
    gaps: HdrHistogram = field(default_factory=new_histogram)

    def add(self, measured: RequestMeasurement) -> None:
        """Count one request."""
        self.requests += 1
        self.failed += measured.failed
        if measured.work is WorkKind.COMMIT:
            self.commits += 1
            self.commits_failed += measured.failed
        if measured.first_token_ms is not None:
            self.first_token.record_value(_in_range(measured.first_token_ms))
        for gap_ms, times in measured.gaps_ms.items():
            self.gaps.record_value(_in_range(gap_ms), times)

    def merge(self, other: "ServiceTally") -> None:
        """Add the sums of `other`."""
        self.requests += other.requests
        self.failed += other.failed
        self.commits += other.commits
        self.commits_failed += other.commits_failed
        self.first_token.add(other.first_token)
        self.gaps.add(other.gaps)


def _in_range(value_ms: int) -> int:
    return min(max(value_ms, LOWEST_MS), HIGHEST_MS)
