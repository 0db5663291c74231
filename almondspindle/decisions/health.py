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

MISSED_POLLS_UNTIL_UNREACHABLE = 3
BASELINE_WEIGHT = 0.05  # of the newest answer in the moving average
MIN_BASELINE_SAMPLES = 20  # answers until the baseline counts
SLOW_FACTOR = 8.0
SLOW_FLOOR_S = 0.5
SLOW_RESPONSES_UNTIL_COLD = 4


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """The target answered a poll sent at `asked_at` (seconds, monotonic)."""

    report: LoadReport
    polled_at: float


@dataclass(frozen=True, slots=True)
class PollFailed:
    """The target did not answer a poll."""


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The connection for a request was refused, or broke before the answer was whole."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A request's first byte came `first_byte_s` seconds after it was sent."""

    first_byte_s: float


@dataclass(frozen=True, slots=True)
class Health:
    """What is known of one target. Times are in seconds on the monotonic clock.

    `cold_at` is when it turned cold, None when it is warm. `proven_at` is when the last poll was
    sent that was answered. `doubt_at` is the time of a failure until a poll sent later or, where
    the target does not report, an answer settles whether it restarted.
    """

    owned_since: float
    answers_polls: bool
    cold_at: float | None = None
    boot_id: str | None = None
    last_answered_poll_at: float | None = None
    reported_in_flight: int = 0
    missed_polls: int = 0
    suspected_restart_at: float | None = None
    baseline_first_byte_s: float = 0.0
    baseline_samples: int = 0
    slow_responses: int = 0

    @property
    def may_have_restarted(self) -> bool:
        """Return whether a failure left it open if the target restarted."""
        return self.suspected_restart_at is not None

    @property
    def is_unreachable(self) -> bool:
        """Return whether polls have gone unanswered for long."""
        return self.missed_polls >= MISSED_POLLS_UNTIL_UNREACHABLE


def initial_health(now: float, answers_polls: bool, joined: bool) -> Health:
    """Return the health of a target that this host owns from `now` on.

    `joined` tells that it is new or back in service; it then starts slowly whatever its uptime.
    """
    return Health(now, answers_polls, cold_at=now if joined else None)


def is_cold(health: Health, policy: Policy, limit: int, now: float) -> bool:
    """Return whether the target is in slow start at `now`."""
    return health.cold_at is not None and not is_ramp_over(policy, now - health.cold_at, limit)


@singledispatch
def observe(event: object, health: Health, now: float) -> Health:
    """Return the health after `event`."""
    raise InvariantError(f"unexpected observation {type(event).__name__}")


@observe.register
def _(event: ReportReceived, health: Health, now: float) -> Health:
    report = event.report
    booted_at = event.polled_at - max(0.0, report.uptime_s)
    known = health.boot_id == report.boot_id
    return replace(
        health,
        boot_id=report.boot_id,
        cold_at=health.cold_at if known else max(booted_at, health.cold_at or booted_at),
        last_answered_poll_at=event.polled_at,
        reported_in_flight=report.in_flight,
        missed_polls=0,
        suspected_restart_at=_remaining_suspicion(health, event.polled_at),
        baseline_first_byte_s=health.baseline_first_byte_s if known else 0.0,
        baseline_samples=health.baseline_samples if known else 0,
        slow_responses=health.slow_responses if known else 0,
    )


@observe.register
def _(event: PollFailed, health: Health, now: float) -> Health:
    # One lost answer is no sign of a restart: the requests that are open tell better.
    missed = min(health.missed_polls + 1, MISSED_POLLS_UNTIL_UNREACHABLE)
    doubtful = missed == MISSED_POLLS_UNTIL_UNREACHABLE
    return replace(
        health,
        missed_polls=missed,
        suspected_restart_at=now if doubtful else health.suspected_restart_at,
    )


@observe.register
def _(event: AttemptFailed, health: Health, now: float) -> Health:
    return replace(health, suspected_restart_at=now)


@observe.register
def _(event: ResponseStarted, health: Health, now: float) -> Health:
    if health.may_have_restarted and not health.answers_polls:
        return replace(
            health, suspected_restart_at=None, cold_at=now, baseline_samples=0, slow_responses=0
        )
    if _is_slow(event.first_byte_s, health):
        return _after_slow_response(health, now)
    step = BASELINE_WEIGHT if health.baseline_samples else 1.0
    baseline = health.baseline_first_byte_s + step * (
        event.first_byte_s - health.baseline_first_byte_s
    )
    answers = min(health.baseline_samples + 1, MIN_BASELINE_SAMPLES)
    return replace(
        health, baseline_first_byte_s=baseline, baseline_samples=answers, slow_responses=0
    )


def _remaining_suspicion(health: Health, polled_at: float) -> float | None:
    """Return the doubt that is left by a report: one sent before the failure settles nothing."""
    if health.suspected_restart_at is None or polled_at > health.suspected_restart_at:
        return None
    return health.suspected_restart_at


def _is_slow(first_byte_s: float, health: Health) -> bool:
    if health.baseline_samples < MIN_BASELINE_SAMPLES:
        return False
    return first_byte_s > max(SLOW_FLOOR_S, SLOW_FACTOR * health.baseline_first_byte_s)


def _after_slow_response(health: Health, now: float) -> Health:
    slow = health.slow_responses + 1
    if slow < SLOW_RESPONSES_UNTIL_COLD:
        return replace(health, slow_responses=slow)
    return replace(health, cold_at=now, baseline_samples=0, slow_responses=0)
