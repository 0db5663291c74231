"""What the platform's store says of targets, availability zones and hosts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.routes import RouteTable


class Topic(StrEnum):
    """The groups of records that a host follows."""

    ROUTES = "routes"
    TARGETS = "targets"
    ZONES = "zones"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as it registered itself. `cold_left_s` counts from when the record was written."""

    name: TargetName
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    is_leaving: bool
    cold_left_s: float
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneExclusion:
    """The operator wants no work sent to the targets of `zone`."""

    zone: ZoneName


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host of the system and its peer address, "ip:port"."""

    name: HostName
    address: str
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that could not be decoded."""

    reason: str


RecordValue = RouteTable | TargetRecord | ZoneExclusion | HostRecord | UnreadableRecord


@dataclass(frozen=True, slots=True)
class Record:
    """A stored record: its name, the revision of its last change, and its bytes as stored."""

    name: str
    revision: int
    value: RecordValue
    raw: bytes = b""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All records of a topic as of the store's `revision`.

    `lapsing` are records that the store no longer holds but that may return, each with the
    seconds for which it is still used. They are in a snapshot from a host only.
    """

    topic: Topic
    revision: int
    records: tuple[Record, ...]
    retained: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A record that was written, or removed."""

    record: Record
    removed: bool


@dataclass(frozen=True, slots=True)
class TopicChanges:
    """Changes of a topic, in order, up to the store's `revision`."""

    topic: Topic
    revision: int
    changes: tuple[RecordChange, ...]


@dataclass(frozen=True, slots=True)
class HistoryUnavailable:
    """The store no longer holds the changes since the revision that was asked for."""

    topic: Topic
