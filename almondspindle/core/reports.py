"""What each host tells some others several times a second."""

from dataclasses import dataclass, field

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts at a target that ended lately, and how many of them failed."""

    attempts: int
    errors: int


@dataclass(frozen=True, slots=True)
class HostReport:
    """The state of one host.

    `revisions` gives the store revision of the last known change of each topic, by the topic's
    name, and `in_flight` the requests at each target. `reaches_store` tells whether the
    host's calls to the store succeed, and `failures` gives the targets at which attempts failed.
    """

    host: HostName
    address: str
    number: int
    reaches_store: bool = True
    revisions: dict[str, int] = field(default_factory=dict)
    in_flight: dict[TargetName, int] = field(default_factory=dict)
    failures: dict[TargetName, AttemptCounts] = field(default_factory=dict)
