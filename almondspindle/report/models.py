"""Data classes of the report. Their fields are the keys of its JSON output."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.decisions.burn import Burn


@dataclass(frozen=True, slots=True)
class HostCoverage:
    """A host whose router was started within the window, so its telemetry covers only a part.

    `covered_s` is the covered part in seconds.
    """

    host: HostName
    covered_s: float


@dataclass(frozen=True, slots=True)
class WindowReport:
    """The burn of each service over one window of `length_s` seconds, from the merged tallies.

    `partial` lists the hosts whose telemetry does not cover the window.
    """

    window: str
    length_s: float
    services: dict[ServiceName, tuple[Burn, ...]]
    partial: tuple[HostCoverage, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The report over all listed hosts.

    `answered` lists the hosts that responded; `silent` holds the others, with the reason.
    """

    config_version: int
    answered: tuple[HostName, ...]
    silent: dict[HostName, str]
    windows: tuple[WindowReport, ...]
