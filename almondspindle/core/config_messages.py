"""Messages by which routers, entries and operators' commands exchange configuration versions."""

from dataclasses import dataclass, field

from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName, ZoneName


@dataclass(frozen=True, slots=True)
class GetConfigRequest:
    """Request a peer's configuration if its version is higher than `have`.

    `nonce` identifies the write that created the requester's version.
    """

    have: int
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class ConfigUpToDate:
    """Report that the requester's version is not lower than the peer's, which is `version`."""

    version: int


ConfigResponse = ConfigSet | ConfigDelta | ConfigUpToDate


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """Announce a new version. `delta` is None if the change is too large to be included."""

    sender: HostName
    version: int
    delta: ConfigDelta | None = None


@dataclass(frozen=True, slots=True)
class ConfigVersionNotice:
    """The version in force on `host`."""

    host: HostName
    version: int


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request the status of a router."""


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The version in force on a host and on each of the entries that subscribe to it."""

    host: HostName
    zone: ZoneName
    version: int
    entries: dict[str, int] = field(default_factory=dict)

    @property
    def lowest_version(self) -> int:
        """Return the lowest version in force on the host and its entries."""
        return min([self.version, *self.entries.values()])


@dataclass(frozen=True, slots=True)
class ConfigAck:
    """Report that the entry `subscriber` has `version` in force."""

    subscriber: HostName
    version: int
