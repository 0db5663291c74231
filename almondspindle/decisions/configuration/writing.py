"""Plan the write of configuration changes over the stored configuration.

A write is one conditional update of one object, so a list of changes takes effect completely or
not at all. The object carries the latest changes with their nonces. A writer that lost the store's
response finds its own write there, and a crash right after the update loses no history.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from almondspindle.core.changes import Change, ChangeError, ChangeErrorCode, HistoryEntry
from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.stored_config import StoredConfig
from almondspindle.decisions.configuration.apply import apply_changes
from almondspindle.decisions.configuration.delta import diff, is_empty
from almondspindle.decisions.configuration.references import check_references

RECENT_ENTRIES = 32  # maximum number of changes kept in the configuration object
SEGMENT_ENTRIES = 16  # changes archived together in one history object
RESTORE_HINT = "restore the configuration in force to the store, then repeat the change"

ValueChecker = Callable[[ConfigSet], Result[ConfigSet, str]]


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Changes to be written in one update.

    The write is refused if `expected_version` is set and another version is stored. `in_force` is
    the highest version known to be in force on a host; a store that holds a lower version has lost
    changes. `restoring` allows a write over such a store.
    """

    changes: tuple[Change, ...]
    operator: str
    nonce: str
    expected_version: int | None = None
    in_force: int = 0
    restoring: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedWrite:
    """Changes that the store holds.

    `version` is the configuration version that contains them. `entry` is None if the changes made
    no difference, so that nothing was written.
    """

    version: int
    entry: HistoryEntry | None = None

    @property
    def changed(self) -> bool:
        """Return whether the changes made a difference."""
        return self.entry is not None


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """What to write: the new configuration and the recent changes kept in its object.

    `entry` records this change and is the last of `recent`. `to_archive` are the oldest recent
    changes, which no longer fit. They must be stored in a history object before the configuration
    is written.
    """

    config: ConfigSet
    entry: HistoryEntry
    recent: tuple[HistoryEntry, ...]
    to_archive: tuple[HistoryEntry, ...]


WritePlan = AcceptedWrite | PlannedWrite


def plan_write(
    req: WriteRequest, stored: StoredConfig, check: ValueChecker, now: float
) -> Result[WritePlan, ChangeError]:
    """Return what to write for `req` over `stored`.

    Return `AcceptedWrite` if the store holds the write already or nothing changes, and an error if
    the changes are refused. `check` validates the values of all fields; `now` is in seconds since
    the Unix epoch.
    """
    own_write = find_own_write(req.nonce, stored)
    if own_write is not None:
        return Ok(own_write)
    refusal = _version_error(req, stored.config)
    if refusal is not None:
        return Error(refusal)
    return (
        apply_changes(stored.config, req.changes)
        .bind(check_references)
        .bind(lambda config: check(config).map_error(invalid_values_error))
        .map(lambda config: _plan(req, stored, config, now))
    )


def find_own_write(nonce: str, stored: StoredConfig) -> AcceptedWrite | None:
    """Return the write with `nonce` if it is among the recent changes, else None."""
    for entry in stored.recent:
        if entry.nonce == nonce:
            return AcceptedWrite(entry.version, entry)
    return None


def may_be_archived(base_version: int, stored: StoredConfig) -> bool:
    """Return whether the recent changes no longer show what was written over `base_version`."""
    if stored.config.version <= base_version:
        return False
    return not any(entry.previous == base_version for entry in stored.recent)


def _version_error(req: WriteRequest, config: ConfigSet) -> ChangeError | None:
    if not req.restoring and config.version < req.in_force:
        text = f"the store holds version {config.version}, but {req.in_force} is in force"
        return ChangeError(ChangeErrorCode.STORE_BEHIND, text, RESTORE_HINT)
    if req.expected_version is not None and config.version != req.expected_version:
        text = f"version {config.version} is stored, not {req.expected_version}"
        hint = "check the current values and repeat the change"
        return ChangeError(ChangeErrorCode.VERSION_MISMATCH, text, hint)
    return None


def invalid_values_error(text: str) -> ChangeError:
    """Return the refusal of values that failed validation, as described in `text`."""
    return ChangeError(ChangeErrorCode.INVALID, text, "correct the values named")


def _plan(req: WriteRequest, stored: StoredConfig, config: ConfigSet, now: float) -> WritePlan:
    old = stored.config
    if is_empty(diff(old, config)) and not req.restoring:
        return AcceptedWrite(old.version)
    new = replace(config, version=max(old.version, req.in_force) + 1, nonce=req.nonce)
    entry = HistoryEntry(
        version=new.version,
        previous=old.version,
        nonce=req.nonce,
        operator=req.operator,
        at=now,
        forward=diff(old, new),
        backward=diff(new, old),
    )
    archived = SEGMENT_ENTRIES if len(stored.recent) >= RECENT_ENTRIES else 0
    return PlannedWrite(new, entry, (*stored.recent[archived:], entry), stored.recent[:archived])
