"""Messages by which a new owner of targets has the previous owner release them."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, TargetName


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Request the release of those of `targets` that the receiver no longer considers its own."""

    new_owner: HostName
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True)
class ReleasedTarget:
    """A target to which the sender starts no more requests.

    `in_flight` counts the sender's requests that are still in flight there.
    """

    target: TargetName
    in_flight: int


@dataclass(frozen=True, slots=True)
class ReleaseResponse:
    """The targets that were released. Targets that are missing may be requested again."""

    released: tuple[ReleasedTarget, ...]
