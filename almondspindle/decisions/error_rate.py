"""Whether a target fails part of its requests, by what all hosts saw lately.

One host sees few answers of each target a second, so it would take seconds to tell a target that
fails a third of its requests from one that fails one in a hundred.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from almondspindle.core.placements import AttemptEnd, AttemptReport
from almondspindle.core.reports import Tally

WINDOW_S = 3.0  # an avoided target is tried again when its failures are as old
LEAST_ERRORS = 4  # with fewer, chance alone may be at work
ERROR_SHARE = 0.2  # sound targets fail 1 to 2 in 100
FIRST_SERVER_ERROR = 500
TIME_IS_UP = 504  # the target's word that the request's own time has passed

# Ends that say something of the target; an answer's status decides whether it is an error.
BROKEN = frozenset({AttemptEnd.CUT, AttemptEnd.SILENT})


@dataclass(slots=True)
class AttemptLog:
    """The attempts at one target within the window: when, and whether they failed."""

    seen: deque[tuple[float, bool]] = field(default_factory=deque)


def note(log: AttemptLog, report: AttemptReport, now: float) -> None:
    """Add an attempt to `log`, if its end says something of the target."""
    if report.end is AttemptEnd.ANSWERED:
        is_error = report.status >= FIRST_SERVER_ERROR and report.status != TIME_IS_UP
        log.seen.append((now, is_error))
    elif report.end in BROKEN:
        log.seen.append((now, True))


def tally(log: AttemptLog, now: float) -> Tally:
    """Return how many attempts ended within the window, and how many failed."""
    while log.seen and log.seen[0][0] <= now - WINDOW_S:
        log.seen.popleft()
    return Tally(len(log.seen), sum(is_error for _, is_error in log.seen))


def is_failing(tallies: Iterable[Tally]) -> bool:
    """Return whether the target fails part of its requests, by the tallies of all hosts."""
    attempts = errors = 0
    for found in tallies:
        attempts += found.attempts
        errors += found.errors
    return errors >= LEAST_ERRORS and errors >= ERROR_SHARE * attempts
