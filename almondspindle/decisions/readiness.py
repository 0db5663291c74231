"""Whether a host accepts new callers."""

from dataclasses import dataclass


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
