"""What the system needs of the platform, whichever protocol carries it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from almondspindle.core.outcomes import Result
from almondspindle.core.roster import Roster

MAX_OBJECT_BYTES = 1024 * 1024
ABSENT = 0  # version of an object that does not exist


class StoreErrorCode(StrEnum):
    """Why a call to the platform gave no result."""

    CONFLICT = "conflict"
    TOO_LARGE = "too large"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call. After UNAVAILABLE on a write, the write may have taken effect."""

    code: StoreErrorCode
    message: str


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's bytes and version. An absent object has version 0 and no bytes."""

    value: bytes
    version: int


class Platform(Protocol):
    """The platform's service. Every method counts as one call against its rates."""

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`; an absent one has version 0."""
        ...

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write `value` if the object still has version `expected`; return the new version."""
        ...

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object if it still has version `expected`."""
        ...

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object once its version is above `after`, or None after `wait_s` seconds."""
        ...

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return names and versions of the objects whose names start with `prefix`."""
        ...

    async def roster(self) -> Result[Roster, StoreError]:
        """Return the platform's lagging list of hosts and targets."""
        ...
