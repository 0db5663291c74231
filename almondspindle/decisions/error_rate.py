"""Detect targets that fail a share of their requests, from the recent attempts of all hosts.

A single host receives few responses per second from each target. It would need seconds to
distinguish a target that fails a third of its requests from one that fails one in a hundred.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.reports import AttemptCounts

WINDOW_S = 3.0  # an ejected target gets requests again once its failures are older than this
MIN_ERRORS = 4  # fewer errors may be due to chance
MAX_ERROR_RATE = 0.2  # healthy targets fail 1 to 2 requests in 100
MIN_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT = 504  # sent by a target when the request's own deadline was exceeded

# Ends that count as errors of the target. For a complete response the status decides.
FAILED_ENDS = frozenset({AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT})


@dataclass(slots=True)
class AttemptLog:
    """The attempts at one target within the window: the time of each and whether it failed."""

    outcomes: deque[tuple[float, bool]] = field(default_factory=deque)


def record_attempt(log: AttemptLog, report: AttemptReport, now: float) -> None:
    """Add an attempt to `log`, unless its end says nothing about the target's health."""
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= MIN_SERVER_ERROR_STATUS and report.status != GATEWAY_TIMEOUT
        log.outcomes.append((now, is_error))
    elif report.end in FAILED_ENDS:
        log.outcomes.append((now, True))


def count_attempts(log: AttemptLog, now: float) -> AttemptCounts:
    """Return the number of attempts that ended within the window and how many failed."""
    while log.outcomes and log.outcomes[0][0] <= now - WINDOW_S:
        log.outcomes.popleft()
    return AttemptCounts(len(log.outcomes), sum(is_error for _, is_error in log.outcomes))


def is_error_rate_high(counts: Iterable[AttemptCounts]) -> bool:
    """Return whether the counts of all hosts together show too high a share of errors."""
    attempts = errors = 0
    for count in counts:
        attempts += count.attempts
        errors += count.errors
    return errors >= MIN_ERRORS and errors >= MAX_ERROR_RATE * attempts
