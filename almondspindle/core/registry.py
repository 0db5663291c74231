"""Counters and latency histograms that a process keeps in memory and serves as text."""

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspindle.core.metrics import METRICS, STATSD_PREFIX, Metric

# Upper bounds of the histogram buckets, from a network hop within a zone to the longest time-out.
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


@dataclass(slots=True)
class _Histogram:
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0


class MetricRegistry:
    """The metrics of a process."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, _Histogram] = {}
        self._gauges: dict[str, dict[str, float]] = {}

    def count(self, metric: Metric, value: int = 1) -> None:
        """Add `value` to the counter `metric`."""
        self._counters[metric.name] = self._counters.get(metric.name, 0) + value

    def time(self, metric: Metric, seconds: float) -> None:
        """Record a duration of `seconds` for the timer `metric`."""
        histogram = self._histograms.setdefault(metric.name, _Histogram())
        histogram.counts[bisect_left(BUCKETS_S, seconds)] += 1
        histogram.total_s += seconds

    def set_by_topic(self, metric: Metric, values: Mapping[str, float]) -> None:
        """Set the gauge `metric` to a value for each topic."""
        self._gauges[metric.name] = dict(values)

    def render_prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, value in sorted(self._counters.items()):
            full_name = f"{STATSD_PREFIX}_{name}_total"
            lines += [f"# HELP {full_name} {METRICS[name].meaning}", f"# TYPE {full_name} counter"]
            lines.append(f"{full_name} {value}")
        for name, values in sorted(self._gauges.items()):
            full_name = f"{STATSD_PREFIX}_{name}"
            lines += [f"# HELP {full_name} {METRICS[name].meaning}", f"# TYPE {full_name} gauge"]
            lines += [f'{full_name}{{topic="{topic}"}} {value}' for topic, value in values.items()]
        for name, histogram in sorted(self._histograms.items()):
            lines += _histogram_lines(name, histogram)
        return "\n".join([*lines, ""])


def _histogram_lines(name: str, histogram: _Histogram) -> list[str]:
    full_name = f"{STATSD_PREFIX}_{name}_seconds"
    lines = [f"# HELP {full_name} {METRICS[name].meaning}", f"# TYPE {full_name} histogram"]
    cumulative = 0
    for bound, count in zip(BUCKETS_S, histogram.counts, strict=False):
        cumulative += count
        lines.append(f'{full_name}_bucket{{le="{bound}"}} {cumulative}')
    cumulative += histogram.counts[-1]
    lines.append(f'{full_name}_bucket{{le="+Inf"}} {cumulative}')
    return [
        *lines,
        f"{full_name}_sum {round(histogram.total_s, 6)}",
        f"{full_name}_count {cumulative}",
    ]
