"""The times of a host's graceful shutdown, and which requests can still finish before its end."""

from dataclasses import dataclass

# The platform checks readiness once a second and takes a host out of rotation after two responses
# other than 200. New connections may arrive until then and for a short time after.
OUT_OF_ROTATION_S = 2.6
# A response may be cut at the end of the grace period if its request was sent within 3 s of the
# stop signal. The process may handle the signal this much later than it was sent.
CUTTABLE_ARRIVAL_S = 3.0
SIGNAL_DELAY_S = 0.5
# Before the platform kills the process, responses are written and the process exits. With a short
# grace period, the margins are a part of it.
ANSWER_MARGIN_S = 0.6
ANSWER_MARGIN_RATIO = 1 / 6
EXIT_MARGIN_S = 0.4
EXIT_MARGIN_RATIO = 1 / 8


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The times of a graceful shutdown, in seconds on the monotonic clock.

    New connections are accepted until `listen_until`. Requests that arrive until `estimate_until`
    are served if such requests usually finish by `answer_by`, later ones only if they can't take
    longer. Requests that are unfinished at `answer_by` are refused. The process exits at `exit_by`
    at the latest.
    """

    listen_until: float
    estimate_until: float
    answer_by: float
    exit_by: float


def schedule_stop(now: float, grace_s: float) -> StopSchedule:
    """Return the schedule of a shutdown that begins `now`, in seconds on the monotonic clock.

    `grace_s` is the time after which the platform kills the process.
    """
    answer_by = now + grace_s - min(ANSWER_MARGIN_S, grace_s * ANSWER_MARGIN_RATIO)
    exit_by = now + grace_s - min(EXIT_MARGIN_S, grace_s * EXIT_MARGIN_RATIO)
    return StopSchedule(
        listen_until=min(now + OUT_OF_ROTATION_S, answer_by),
        estimate_until=min(now + CUTTABLE_ARRIVAL_S - SIGNAL_DELAY_S, answer_by),
        answer_by=answer_by,
        exit_by=exit_by,
    )
