"""The interface to the platform, independent of its protocol."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from almondspindle.core.outcomes import Result

if TYPE_CHECKING:  # the program of a node doesn't use it, and must start quickly
    from almondspindle.core.roster import Roster

MAX_OBJECT_BYTES = 1024 * 1024
ABSENT_VERSION = 0  # version of an object that does not exist


class StoreErrorCode(StrEnum):
    """Why a call to the platform failed."""

    CONFLICT = "conflict"
    TOO_LARGE = "too large"
    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call. After UNAVAILABLE on a write, the write may have taken effect.

    `is_silent` is set if the other side did not respond at all.
    """

    code: StoreErrorCode
    message: str
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's bytes and version. An absent object has version 0 and no bytes."""

    value: bytes
    version: int


class Platform(Protocol):
    """The platform's object store and host list.

    The platform limits the rate of calls; each call of a method counts as one.
    """

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`; an absent one has version 0."""
        ...

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write `value` if the object has version `expected`; return the new version.

        The error is CONFLICT if the object has another version, and TOO_LARGE if `value` has more
        than `MAX_OBJECT_BYTES` bytes.
        """
        ...

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object if it has version `expected`; otherwise the error is CONFLICT."""
        ...

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object once its version is above `after`, or None after `wait_s` seconds."""
        ...

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return the versions of the objects whose names start with `prefix`, by name."""
        ...

    async def roster(self) -> "Result[Roster, StoreError]":
        """Return the platform's list of hosts and targets, which may be out of date."""
        ...
