"""Messages of the controller that polls loads."""

from dataclasses import dataclass

from almondspindle.core.identifiers import TargetName
from almondspindle.core.load import OwnedTarget


@dataclass(frozen=True, slots=True)
class PollTargets:
    """The targets that this host owns now; those that report are polled."""

    targets: tuple[OwnedTarget, ...]


@dataclass(frozen=True, slots=True)
class PollSoon:
    """A report of `target` is wanted before its next turn."""

    target: TargetName
