"""What an engine says of itself, and the targets that a host owns."""

from dataclasses import dataclass

from almondspindle.core.roster import Host, Target


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own report. It lags; `uptime_s` is in seconds, `in_flight` in requests."""

    boot_id: str
    uptime_s: float
    in_flight: int
    cached_prefixes: int = 0


@dataclass(frozen=True, slots=True)
class OwnedTarget:
    """A target that this host owns and that is in service.

    `reports` tells whether the target answers polls of its load. `joined` tells that it is new
    in the list or back in service. `previous` is the host that owned it before, while that host
    is still able to own targets.
    """

    target: Target
    answers_polls: bool = False
    joined: bool = False
    previous: Host | None = None
