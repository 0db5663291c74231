"""The catalogue of metrics, and the client that sends them to statsd."""

from dataclasses import dataclass
from typing import Protocol

from statsd import StatsClient

from almondspindle.utils.addresses import split_address

METRICS: dict[str, "Metric"] = {}
STATSD_PREFIX = "almondspindle"


@dataclass(frozen=True, slots=True)
class Metric:
    """A counter, timer or gauge. `unit` is the unit of its values."""

    name: str
    kind: str
    unit: str
    meaning: str


def metric(name: str, kind: str, unit: str, meaning: str) -> Metric:
    """Add a metric to the catalogue and return it."""
    METRICS[name] = Metric(name, kind, unit, meaning)
    return METRICS[name]


REQUESTS = metric("requests", "counter", "requests", "Requests that entered the filter chain.")
REFUSALS = metric("refusals", "counter", "requests", "Requests that were refused.")
RESPONSES = metric("answers", "counter", "requests", "Requests that got a complete response.")
RETRIES = metric("retries", "counter", "attempts", "Retries that were charged to the retry budget.")
REDIRECTS = metric(
    "redirects", "counter", "attempts", "Refusals after which the next candidate was used."
)
RESUMES = metric("resumes", "counter", "attempts", "Attempts to resume a stream.")
LATER_ATTEMPTS = metric("repeats", "counter", "attempts", "Attempts after the first of a request.")
ATTEMPTS = metric("attempts", "counter", "attempts", "Requests sent to targets.")
CONNECTIONS = metric("connections", "counter", "connections", "New connections to targets.")
CRASHES = metric(
    "crashes",
    "counter",
    "attempts",
    "Attempts whose target went down before it sent a part of the body.",
)
TRUNCATED = metric("truncated", "counter", "responses", "Responses that were cut after their head.")
EXCEPTIONS = metric("exceptions", "counter", "requests", "Requests that an exception ended.")
LEAVINGS = metric(
    "leavings", "counter", "targets", "Targets that said in a response that they are leaving."
)
PAUSES = metric(
    "pauses", "counter", "responses", "Rejections by targets that asked this host for a pause."
)
QUARANTINED = metric(
    "quarantined", "counter", "requests", "Requests refused because their like crash targets."
)
COPY_AGE = metric(
    "copy_age", "gauge", "s", "Time since the store last confirmed this host's copy, by topic."
)
COPY_ERA = metric("copy_era", "gauge", "eras", "Era of the store of this host's copy, by topic.")
COPY_REVISION = metric(
    "copy_revision", "gauge", "changes", "Revision of this host's copy in its era, by topic."
)
LOOP_STALLS = metric(
    "loop_stalls", "counter", "times", "Times for which the event loop stood still for 0.2 s."
)
PACED = metric("paced", "counter", "targets", "Targets whose pace began on this host.")
EXPOSED = metric(
    "exposed", "counter", "requests", "Requests assigned to a version before its verdict."
)
ROLLOUTS_COMPLETED = metric(
    "rollouts_completed", "counter", "roll-outs", "Roll-outs that this host saw complete."
)
ROLLOUTS_REVERTED = metric(
    "rollouts_reverted", "counter", "roll-outs", "Roll-outs that this host saw reverted."
)
RESPONSE_TIME = metric(
    "whole_time", "timer", "ms", "Time from a request to the end of its response."
)
FIRST_BYTE = metric(
    "first_byte", "timer", "ms", "Time from a request to the first byte of its response."
)

CLAIM_WRITES = metric("claim_writes", "counter", "writes", "Writes of claims to the store.")
CLAIM_OPERATIONS = metric(
    "claim_changes", "counter", "changes", "Changes of claims in written batches."
)
CLAIM_TIME = metric("claim_time", "timer", "ms", "Time that commits waited for their claims.")


class MetricSender(Protocol):
    """The destination of metrics."""

    def count(self, metric: Metric, value: int = 1) -> None:
        """Add `value` to the counter `metric`."""
        ...

    def time(self, metric: Metric, seconds: float) -> None:
        """Record a duration of `seconds` for the timer `metric`."""
        ...


class NullMetrics:
    """Discard all metrics. Used if no statsd address is set."""

    def count(self, metric: Metric, value: int = 1) -> None:
        """Discard the value."""

    def time(self, metric: Metric, seconds: float) -> None:
        """Discard the value."""


class StatsdMetrics:
    """Send metrics to a statsd server over UDP."""

    def __init__(self, host: str, port: int) -> None:
        self._client = StatsClient(host, port, prefix=STATSD_PREFIX)

    def count(self, metric: Metric, value: int = 1) -> None:
        """Add `value` to the counter `metric`."""
        self._client.incr(metric.name, value)

    def time(self, metric: Metric, seconds: float) -> None:
        """Record a duration of `seconds` for the timer `metric`."""
        self._client.timing(metric.name, seconds * 1000.0)


def make_metrics(address: str | None) -> MetricSender:
    """Return a sender to statsd at `address` ("ip:port"), or `NullMetrics` if it is empty."""
    if not address:
        return NullMetrics()
    return StatsdMetrics(*split_address(address))
