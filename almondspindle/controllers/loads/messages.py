"""Messages of the controller of load polls."""

from dataclasses import dataclass

from almondspindle.core.identifiers import TargetName
from almondspindle.core.load import OwnedTarget


@dataclass(frozen=True, slots=True)
class PollTargets:
    """The targets that this host owns from now on; those that report their load are polled."""

    targets: tuple[OwnedTarget, ...]


@dataclass(frozen=True, slots=True)
class PollSoon:
    """A load report of `target` is needed before its next scheduled poll."""

    target: TargetName
