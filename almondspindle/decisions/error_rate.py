"""Whether a target fails part of its requests, by what all hosts saw lately.

One host sees few answers of each target a second, so it would take seconds to tell a target that
fails a third of its requests from one that fails one in a hundred.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.reports import AttemptCounts

WINDOW_S = 3.0  # an avoided target is tried again when its failures are as old
MIN_ERRORS = 4  # with fewer, chance alone may be at work
MAX_ERROR_RATE = 0.2  # sound targets fail 1 to 2 in 100
MIN_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT = 504  # the target's word that the request's own time has passed

# Ends that say something of the target; an answer's status decides whether it is an error.
FAILED_ENDS = frozenset({AttemptEnd.CONNECTION_BROKEN, AttemptEnd.IDLE_TIMEOUT})


@dataclass(slots=True)
class AttemptLog:
    """The attempts at one target within the window: when, and whether they failed."""

    outcomes: deque[tuple[float, bool]] = field(default_factory=deque)


def record_attempt(log: AttemptLog, report: AttemptReport, now: float) -> None:
    """Add an attempt to `log`, if its end says something of the target."""
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= MIN_SERVER_ERROR_STATUS and report.status != GATEWAY_TIMEOUT
        log.outcomes.append((now, is_error))
    elif report.end in FAILED_ENDS:
        log.outcomes.append((now, True))


def count_attempts(log: AttemptLog, now: float) -> AttemptCounts:
    """Return how many attempts ended within the window, and how many failed."""
    while log.outcomes and log.outcomes[0][0] <= now - WINDOW_S:
        log.outcomes.popleft()
    return AttemptCounts(len(log.outcomes), sum(is_error for _, is_error in log.outcomes))


def is_error_rate_high(tallies: Iterable[AttemptCounts]) -> bool:
    """Return whether the target fails part of its requests, by the tallies of all hosts."""
    attempts = errors = 0
    for found in tallies:
        attempts += found.attempts
        errors += found.errors
    return errors >= MIN_ERRORS and errors >= MAX_ERROR_RATE * attempts
