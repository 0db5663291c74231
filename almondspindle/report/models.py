"""What the report consists of."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.decisions.burn import Burn


@dataclass(frozen=True, slots=True)
class HostCoverage:
    """A host whose router has seen less than the whole window, since it was restarted."""

    host: HostName
    covered_s: float


@dataclass(frozen=True, slots=True)
class WindowReport:
    """The burn of every service over one window, from the merged sums of all hosts."""

    window: str
    length_s: float
    services: dict[ServiceName, tuple[Burn, ...]]
    partial: tuple[HostCoverage, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The whole report. `silent` are live hosts that did not answer, with the reason."""

    config_version: int
    answered: tuple[HostName, ...]
    silent: dict[HostName, str]
    windows: tuple[WindowReport, ...]
