"""What an owner learns of a target: its boot, its reports, its failures and its latency.

`observe` returns the health after an observation. A target counts as cold from the moment that
its restart is known or can't be ruled out.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from almondspindle.core.config import Policy
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import InvariantError
from almondspindle.decisions.slow_start import is_ramp_over

MISSES_UNTIL_UNREACHABLE = 3
BASELINE_WEIGHT = 0.05  # of the newest answer in the moving average
BASELINE_ANSWERS = 20  # answers until the baseline counts
SLOW_FACTOR = 8.0
SLOW_FLOOR_S = 0.5
SLOW_ANSWERS_UNTIL_COLD = 4


@dataclass(frozen=True, slots=True)
class ReportHeard:
    """The target answered a poll sent at `asked_at` (seconds, monotonic)."""

    report: LoadReport
    asked_at: float


@dataclass(frozen=True, slots=True)
class ReportMissed:
    """The target did not answer a poll."""


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The connection for a request was refused, or broke before the answer was whole."""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """A request's first byte came `first_byte_s` seconds after it was sent."""

    first_byte_s: float


@dataclass(frozen=True, slots=True)
class Health:
    """What is known of one target. Times are in seconds on the monotonic clock.

    `cold_at` is when it turned cold, None when it is warm. `proven_at` is when the last poll was
    sent that was answered. `doubt_at` is the time of a failure until a poll sent later or, where
    the target does not report, an answer settles whether it restarted.
    """

    gained_at: float
    reports: bool
    cold_at: float | None = None
    boot_id: str | None = None
    proven_at: float | None = None
    reported: int = 0
    missed: int = 0
    doubt_at: float | None = None
    first_byte_s: float = 0.0
    answers: int = 0
    slow_answers: int = 0

    @property
    def in_doubt(self) -> bool:
        """Return whether a failure left it open if the target restarted."""
        return self.doubt_at is not None

    @property
    def unreachable(self) -> bool:
        """Return whether polls have gone unanswered for long."""
        return self.missed >= MISSES_UNTIL_UNREACHABLE


def gained(now: float, reports: bool, joined: bool) -> Health:
    """Return the health of a target that this host owns from `now` on.

    `joined` tells that it is new or back in service; it then starts slowly whatever its uptime.
    """
    return Health(now, reports, cold_at=now if joined else None)


def is_cold(health: Health, policy: Policy, limit: int, now: float) -> bool:
    """Return whether the target is in slow start at `now`."""
    return health.cold_at is not None and not is_ramp_over(policy, now - health.cold_at, limit)


@singledispatch
def observe(event: object, health: Health, now: float) -> Health:
    """Return the health after `event`."""
    raise InvariantError(f"unexpected observation {type(event).__name__}")


@observe.register
def _(event: ReportHeard, health: Health, now: float) -> Health:
    report = event.report
    booted_at = event.asked_at - max(0.0, report.uptime_s)
    known = health.boot_id == report.boot_id
    return replace(
        health,
        boot_id=report.boot_id,
        cold_at=health.cold_at if known else max(booted_at, health.cold_at or booted_at),
        proven_at=event.asked_at,
        reported=report.in_flight,
        missed=0,
        doubt_at=_doubt_after(health, event.asked_at),
        first_byte_s=health.first_byte_s if known else 0.0,
        answers=health.answers if known else 0,
        slow_answers=health.slow_answers if known else 0,
    )


@observe.register
def _(event: ReportMissed, health: Health, now: float) -> Health:
    # One lost answer is no sign of a restart: the requests that are open tell better.
    missed = min(health.missed + 1, MISSES_UNTIL_UNREACHABLE)
    doubtful = missed == MISSES_UNTIL_UNREACHABLE
    return replace(health, missed=missed, doubt_at=now if doubtful else health.doubt_at)


@observe.register
def _(event: AttemptFailed, health: Health, now: float) -> Health:
    return replace(health, doubt_at=now)


@observe.register
def _(event: AttemptAnswered, health: Health, now: float) -> Health:
    if health.in_doubt and not health.reports:
        return replace(health, doubt_at=None, cold_at=now, answers=0, slow_answers=0)
    if _is_slow(event.first_byte_s, health):
        return _after_slow_answer(health, now)
    step = BASELINE_WEIGHT if health.answers else 1.0
    baseline = health.first_byte_s + step * (event.first_byte_s - health.first_byte_s)
    answers = min(health.answers + 1, BASELINE_ANSWERS)
    return replace(health, first_byte_s=baseline, answers=answers, slow_answers=0)


def _doubt_after(health: Health, asked_at: float) -> float | None:
    """Return the doubt that is left by a report: one sent before the failure settles nothing."""
    if health.doubt_at is None or asked_at > health.doubt_at:
        return None
    return health.doubt_at


def _is_slow(first_byte_s: float, health: Health) -> bool:
    if health.answers < BASELINE_ANSWERS:
        return False
    return first_byte_s > max(SLOW_FLOOR_S, SLOW_FACTOR * health.first_byte_s)


def _after_slow_answer(health: Health, now: float) -> Health:
    slow = health.slow_answers + 1
    if slow < SLOW_ANSWERS_UNTIL_COLD:
        return replace(health, slow_answers=slow)
    return replace(health, cold_at=now, answers=0, slow_answers=0)
