"""Whether a host takes new callers, and how far its planned stop has got."""

from dataclasses import dataclass

# The platform asks once a second and takes a host out after two answers that are not 200; new
# connections may come for as long, and a little more.
OUT_OF_ROTATION_S = 2.6
EXIT_MARGIN_S = 0.4  # before the platform kills the process


@dataclass(frozen=True, slots=True)
class ReadinessState:
    """What a host knows and does. `stopping_since` is in seconds, None while it serves."""

    has_route_table: bool = False
    has_targets: bool = False
    stopping_since: float | None = None


def not_ready_reason(standing: ReadinessState) -> str | None:
    """Return why the host takes no new callers, or None if it does."""
    if standing.stopping_since is not None:
        return "stopping"
    if not standing.has_route_table:
        return "no route table"
    if not standing.has_targets:
        return "no targets"
    return None


def max_stop_s(grace_s: float) -> float:
    """Return the longest time that a planned stop may take, in seconds."""
    return max(0.0, grace_s - EXIT_MARGIN_S)
