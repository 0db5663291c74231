"""What an owner knows about a target: its boot, load reports, failures and latency.

`observe` returns the health after an observation. A target becomes cold by a known restart. While
a restart can't be ruled out, the owner limits its requests in the same way.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from almondspindle.core.config import Policy
from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import InvariantError
from almondspindle.decisions.slow_start import is_ramp_over

MISSED_POLLS_UNTIL_UNREACHABLE = 3
BASELINE_WEIGHT = 0.05  # of the newest response in the moving average
MIN_BASELINE_SAMPLES = 20  # responses before the baseline is used
SLOW_FACTOR = 8.0
SLOW_FLOOR_S = 0.5
SLOW_RESPONSES_UNTIL_COLD = 4


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """The target answered a poll sent at `polled_at` (seconds, monotonic)."""

    report: LoadReport
    polled_at: float


@dataclass(frozen=True, slots=True)
class PollFailed:
    """The target did not answer a poll."""


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A request's connection was refused, or broke before the response was complete."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first byte of a response was received `first_byte_s` seconds after the request."""

    first_byte_s: float


@dataclass(frozen=True, slots=True)
class Health:
    """What an owner knows about one target. Times are in seconds on the monotonic clock.

    `cold_at` is when the target last became cold, None if it never did. It stays set after slow
    start; `is_cold` says whether slow start is over. `last_answered_poll_at` is when the last
    answered poll was sent. `suspected_restart_at` is the time of a failure after which a restart
    can't be ruled out. It is cleared by a report whose poll was sent after the failure or, for a
    target that does not answer polls, by a response.
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
        """Return whether a restart can't be ruled out since the last failure."""
        return self.suspected_restart_at is not None

    @property
    def is_unreachable(self) -> bool:
        """Return whether several polls in a row were not answered."""
        return self.missed_polls >= MISSED_POLLS_UNTIL_UNREACHABLE


def initial_health(now: float, answers_polls: bool, joined: bool) -> Health:
    """Return the health of a target that this host owns from `now` on.

    `joined` says that the target is new or back in service. It then goes through slow start
    whatever its uptime.
    """
    return Health(now, answers_polls, cold_at=now if joined else None)


def is_cold(health: Health, policy: Policy, limit: int, now: float) -> bool:
    """Return whether the target is in slow start at `now`."""
    return health.cold_at is not None and not is_ramp_over(policy, now - health.cold_at, limit)


@singledispatch
def observe(event: object, health: Health, now: float) -> Health:
    """Return the health after `event`.

    Raise `InvariantError` for an event of an unknown type.
    """
    raise InvariantError(f"unexpected observation {type(event).__name__}")


@observe.register
def _(event: PollAnswered, health: Health, now: float) -> Health:
    report = event.report
    booted_at = event.polled_at - max(0.0, report.uptime_s)
    is_same_boot = health.boot_id == report.boot_id
    return replace(
        health,
        boot_id=report.boot_id,
        cold_at=health.cold_at if is_same_boot else max(booted_at, health.cold_at or booted_at),
        last_answered_poll_at=event.polled_at,
        reported_in_flight=report.in_flight,
        missed_polls=0,
        suspected_restart_at=_remaining_suspicion(health, event.polled_at),
        baseline_first_byte_s=health.baseline_first_byte_s if is_same_boot else 0.0,
        baseline_samples=health.baseline_samples if is_same_boot else 0,
        slow_responses=health.slow_responses if is_same_boot else 0,
    )


@observe.register
def _(event: PollFailed, health: Health, now: float) -> Health:
    # A single missed poll does not indicate a restart: that would also break the open requests.
    missed = min(health.missed_polls + 1, MISSED_POLLS_UNTIL_UNREACHABLE)
    is_unreachable = missed == MISSED_POLLS_UNTIL_UNREACHABLE
    return replace(
        health,
        missed_polls=missed,
        suspected_restart_at=now if is_unreachable else health.suspected_restart_at,
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
    samples = min(health.baseline_samples + 1, MIN_BASELINE_SAMPLES)
    return replace(
        health, baseline_first_byte_s=baseline, baseline_samples=samples, slow_responses=0
    )


def _remaining_suspicion(health: Health, polled_at: float) -> float | None:
    """Return when a restart was last suspected, or None if the report settles it.

    A poll that was sent before the failure settles nothing.
    """
    if health.suspected_restart_at is None or polled_at > health.suspected_restart_at:
        return None
    return health.suspected_restart_at


def _is_slow(first_byte_s: float, health: Health) -> bool:
    if health.baseline_samples < MIN_BASELINE_SAMPLES:
        return False
    return first_byte_s > max(SLOW_FLOOR_S, SLOW_FACTOR * health.baseline_first_byte_s)


def _after_slow_response(health: Health, now: float) -> Health:
    count = health.slow_responses + 1
    if count < SLOW_RESPONSES_UNTIL_COLD:
        return replace(health, slow_responses=count)
    return replace(health, cold_at=now, baseline_samples=0, slow_responses=0)
