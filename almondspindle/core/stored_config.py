"""The configuration as held in the store."""

from dataclasses import dataclass

from almondspindle.core.changes import HistoryEntry
from almondspindle.core.config import ConfigSet


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """The stored configuration and its latest changes.

    `store_version` is the store's version of the object. `recent` is ordered by version, the
    latest change last.
    """

    config: ConfigSet
    store_version: int
    recent: tuple[HistoryEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeFeed:
    """The latest changes up to `version`.

    `store_version` is the store's version of the object that holds the whole configuration.
    """

    version: int
    store_version: int
    entries: tuple[HistoryEntry, ...] = ()
