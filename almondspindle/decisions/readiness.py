"""Whether a host accepts new callers, and the time limits of its graceful shutdown."""

from dataclasses import dataclass

# The platform checks readiness once a second and takes a host out of rotation after two responses
# other than 200. New connections may arrive until then and for a short time after.
OUT_OF_ROTATION_S = 2.6
EXIT_MARGIN_S = 0.4  # time left before the platform kills the process


@dataclass(frozen=True, slots=True)
class ReadinessState:
    """What a host's readiness depends on.

    `stopping_since` is the start of its shutdown in seconds, None while it serves.
    """

    has_route_table: bool = False
    has_targets: bool = False
    stopping_since: float | None = None


def not_ready_reason(state: ReadinessState) -> str | None:
    """Return why the host accepts no new callers, or None if it does."""
    if state.stopping_since is not None:
        return "stopping"
    if not state.has_route_table:
        return "no route table"
    if not state.has_targets:
        return "no targets"
    return None


def max_stop_s(grace_s: float) -> float:
    """Return the longest time that a graceful shutdown may take, in seconds.

    `grace_s` is the time after which the platform kills the process.
    """
    return max(0.0, grace_s - EXIT_MARGIN_S)
