"""When a host whose calls to the store fail calls it again.

The load that this answers: an outage of the store, in which every host of a large fleet would retry
the calls of every topic several times a second. Each host makes one call at a time for all topics,
a probe. The hosts of a group that reports to each other share a rate of probes: the more of them
have lost the store, the longer each waits. No host depends on the probes of certain others, since
these may be cut off from the store while it is up.
"""

from dataclasses import dataclass, replace

from almondspindle.decisions.jitter import full_jitter

RETRY_BASE_S = 0.1
RETRY_CAP_S = 0.5  # a new configuration must be applied within two seconds
# Longest wait of a host from a failed probe to the next, for each host that shares the probes.
WAIT_PER_SHARER_S = 0.2
# Failed calls in a row after which the interval depends on the group. A first failure is often that
# of one connection, and the store responds to the next call.
OWN_RETRIES = 1
# After a peer regained the store, every host probes it often for this time.
RECOVERY_PROBE_S = 1.5
PROBE_DURATION_S = 1.2  # after which a probe that has not been reported is taken as failed


def retry_delay_s(failures: int, random_number: float) -> float:
    """Return the time from a failed call to the next one of the same kind, in seconds.

    `failures` is the number of failed calls in a row, and `random_number` is from 0 to 1.
    """
    return max(RETRY_BASE_S, full_jitter(failures, RETRY_BASE_S, RETRY_CAP_S, random_number))


def probe_delay_s(sharers: int, failures: int, random_number: float) -> float:
    """Return the time from a failed call to this host's next probe, in seconds.

    `sharers` is the number of hosts, this one included, among which the probes are divided.
    """
    delay_s = retry_delay_s(failures, random_number)
    if failures <= OWN_RETRIES:
        return delay_s
    return max(delay_s, random_number * WAIT_PER_SHARER_S * sharers)


@dataclass(frozen=True, slots=True)
class ProbeState:
    """The probes of a host since its calls to the store began to fail.

    `failures` counts the failed calls in a row, the last of them at `failed_at`, in seconds on the
    monotonic clock. `random_number`, from 0 to 1, was drawn for the wait after it. `caller` is who
    makes a probe now, empty if nobody does, and `probed_at` when the last one began. `is_released`
    says that the next probe may follow at once.
    """

    failures: int
    failed_at: float
    random_number: float
    caller: str = ""
    probed_at: float = 0.0
    is_released: bool = False


def next_probe_wait_s(state: ProbeState, sharers: int, now: float) -> float:
    """Return the seconds until the next probe may begin; 0 or less if it may begin now."""
    if state.caller:
        return state.probed_at + PROBE_DURATION_S - now
    if state.is_released:
        return 0.0
    return state.failed_at + probe_delay_s(sharers, state.failures, state.random_number) - now


def after_probe_began(state: ProbeState, caller: str, now: float) -> ProbeState:
    """Return the state while `caller` makes a probe."""
    return replace(state, caller=caller, probed_at=now, is_released=False)


def after_probe_released(state: ProbeState, caller: str) -> ProbeState:
    """Return the state after the store responded to `caller` without telling anything new."""
    return replace(state, caller="", is_released=True) if caller == state.caller else state


def after_failed_call(
    state: ProbeState | None, caller: str, now: float, random_number: float
) -> ProbeState:
    """Return the state after a call of `caller` failed; `state` is None if none had before.

    Only the first failure and those of probes count. The calls that were waiting at the first one
    fail with it, or later, and say no more than it did.
    """
    if state is None:
        return ProbeState(1, now, random_number)
    if caller != state.caller:
        return state
    return ProbeState(state.failures + 1, now, random_number)
