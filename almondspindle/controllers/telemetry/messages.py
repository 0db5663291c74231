"""Messages of the telemetry controllers."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.decisions.rolling_windows import Tallies


@dataclass(frozen=True, slots=True)
class TakeTallies(ControllerRequest[Tallies]):
    """Request the tallies of an entry's collector, and reset them."""


@dataclass(frozen=True, slots=True)
class RestoreTallies:
    """Add tallies that could not be pushed to a router back, so that the next push has them."""

    tallies: Tallies


@dataclass(frozen=True, slots=True)
class AddTallies:
    """Add an entry's tallies to a router's windows."""

    tallies: Tallies


@dataclass(frozen=True, slots=True)
class WindowTotal:
    """Tallies over one window of a router.

    `covered_s` is the part of the window, in seconds, in which the router was running.
    """

    window: str
    covered_s: float
    tallies: Tallies


@dataclass(frozen=True, slots=True)
class GetWindows(ControllerRequest[tuple[WindowTotal, ...]]):
    """Request a router's tallies over all windows."""
