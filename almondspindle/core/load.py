"""Load reports of engines, and the targets that a host owns."""

from dataclasses import dataclass

from almondspindle.core.roster import Host, Target


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report on its own load, which may be out of date.

    `boot_id` identifies the start of the engine. `in_flight` counts requests.
    """

    boot_id: str
    uptime_s: float
    in_flight: int
    cached_prefixes: int = 0


@dataclass(frozen=True, slots=True)
class OwnedTarget:
    """A target in service that this host owns.

    `answers_polls` tells whether the target can be polled for its load. `joined` is set if it is
    new in the list or back in service. `previous_owner` is the host that owned it before, if that
    host is still able to own targets.
    """

    target: Target
    answers_polls: bool = False
    joined: bool = False
    previous_owner: Host | None = None
