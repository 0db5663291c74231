"""Measurements of requests, and their totals per service."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import ServiceName

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of values in milliseconds, exact below 256 ms."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)


@dataclass(frozen=True, slots=True)
class RequestMeasurement:
    """The measurement of one completed request.

    `failed` is set only if the service, and not the caller, is at fault. `first_token_ms` is None
    if there was no response or the request is not a chat. `gaps_ms` maps the time between two
    chunks of a stream, in milliseconds, to the number of times it occurred.
    """

    service: ServiceName
    work: WorkKind
    failed: bool
    first_token_ms: int | None = None
    gaps_ms: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class ServiceTally:
    """Totals over the requests of one service. Histograms are in milliseconds."""

    requests: int = 0
    failed: int = 0
    commits: int = 0
    commits_failed: int = 0
    first_token: HdrHistogram = field(default_factory=new_histogram)
    gaps: HdrHistogram = field(default_factory=new_histogram)

    def add(self, measurement: RequestMeasurement) -> None:
        """Add one request to the totals."""
        self.requests += 1
        self.failed += measurement.failed
        if measurement.work is WorkKind.COMMIT:
            self.commits += 1
            self.commits_failed += measurement.failed
        if measurement.first_token_ms is not None:
            self.first_token.record_value(_clamp(measurement.first_token_ms))
        for gap_ms, count in measurement.gaps_ms.items():
            self.gaps.record_value(_clamp(gap_ms), count)

    def merge(self, other: "ServiceTally") -> None:
        """Add the totals of `other`."""
        self.requests += other.requests
        self.failed += other.failed
        self.commits += other.commits
        self.commits_failed += other.commits_failed
        self.first_token.add(other.first_token)
        self.gaps.add(other.gaps)


def _clamp(value_ms: int) -> int:
    return min(max(value_ms, LOWEST_MS), HIGHEST_MS)
