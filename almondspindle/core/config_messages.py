"""What routers, entries and operators' commands tell each other about configuration versions."""

from dataclasses import dataclass, field

from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName, ZoneName


@dataclass(frozen=True, slots=True)
class GetConfigRequest:
    """Ask a peer for the configuration, if it has one above version `have`.

    `nonce` is that of the write that made the requester's version.
    """

    have: int
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class ConfigUpToDate:
    """The peer has nothing above the requester's version; `version` is its own."""

    version: int


ConfigResponse = ConfigSet | ConfigDelta | ConfigUpToDate


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """A new version, passed on. A change that is too large to pass on leaves `delta` empty."""

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
    """Ask a router for its status."""


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The version in force on a host, and on each entry that subscribes to it."""

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
    """An entry has `version` in force."""

    subscriber: HostName
    version: int
