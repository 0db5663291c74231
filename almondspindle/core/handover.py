"""How a new owner of targets learns that the previous one has let go of them."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """`new_owner` asks which of `targets` the receiver no longer owns in its own view."""

    new_owner: HostName
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True)
class ReleasedTarget:
    """A target that takes no more work from the sender, with what is left in flight there."""

    target: TargetName
    in_flight: int


@dataclass(frozen=True, slots=True)
class ReleaseResponse:
    """The targets that were let go. Those that are missing may be asked for again."""

    released: tuple[ReleasedTarget, ...]
