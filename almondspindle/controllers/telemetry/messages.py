"""Messages of the telemetry controllers."""

from dataclasses import dataclass

from almondspindle.controllers.base import ControllerRequest
from almondspindle.decisions.rolling_windows import Tallies


@dataclass(frozen=True, slots=True)
class TakeTallies(ControllerRequest[Tallies]):
    """Ask an entry's collector for the sums since the last time, and start new ones."""


@dataclass(frozen=True, slots=True)
class RestoreTallies:
    """Give back sums that could not be handed to a router, so that the next try carries them."""

    tallies: Tallies


@dataclass(frozen=True, slots=True)
class AddTallies:
    """Add sums that an entry has collected to a router's windows."""

    tallies: Tallies


@dataclass(frozen=True, slots=True)
class WindowTotal:
    """The sums over one window of a router, which has collected for `covered_s` seconds of it."""

    window: str
    covered_s: float
    tallies: Tallies


@dataclass(frozen=True, slots=True)
class GetWindows(ControllerRequest[tuple[WindowTotal, ...]]):
    """Ask a router's telemetry for the sums over all windows."""
