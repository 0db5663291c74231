"""What a writer does with the stored configuration that it has read.

A write is one conditional update of one object, so a list of changes takes effect whole or not at
all. The object carries the latest changes with their nonces: a writer whose answer was lost finds
its own write there, and a crash right after the update loses no history.
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

RECENT_ENTRIES = 32  # changes kept in the object itself, at the most
SEGMENT_ENTRIES = 16  # changes that go together into one history object
RESTORE_HINT = "write the configuration in force back to the store, then repeat the change"

ValueChecker = Callable[[ConfigSet], Result[ConfigSet, str]]


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Changes that take effect together.

    `expected_version` refuses the changes when another version is stored. `in_force` is the highest
    version known to be in force on a host; a store that holds a lower one has lost changes.
    """

    changes: tuple[Change, ...]
    operator: str
    nonce: str
    expected_version: int | None = None
    in_force: int = 0
    restoring: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedWrite:
    """Changes that are in the store.

    `version` is the configuration version that holds them; `entry` is None when there was nothing
    to do.
    """

    version: int
    entry: HistoryEntry | None = None

    @property
    def changed(self) -> bool:
        """Return whether there was anything to do."""
        return self.entry is not None


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """What to write: the new configuration and all changes that the object should carry.

    `archive` are the oldest ones, which have no room left and need a history object first.
    """

    config: ConfigSet
    entry: HistoryEntry
    recent: tuple[HistoryEntry, ...]
    to_archive: tuple[HistoryEntry, ...]


WritePlan = AcceptedWrite | PlannedWrite


def plan_write(
    req: WriteRequest, stored: StoredConfig, check: ValueChecker, now: float
) -> Result[WritePlan, ChangeError]:
    """Return what to write for `req` over `stored`, or that it is there already, or an error.

    `now` is in seconds since the Unix epoch; `check` checks the values of all fields.
    """
    own = find_own_write(req.nonce, stored)
    if own is not None:
        return Ok(own)
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
    """Return the write with `nonce` when it is among the latest changes."""
    for entry in stored.recent:
        if entry.nonce == nonce:
            return AcceptedWrite(entry.version, entry)
    return None


def may_be_archived(base_version: int, stored: StoredConfig) -> bool:
    """Return whether a write over version `tried_over` may be older than the latest changes."""
    if stored.config.version <= base_version:
        return False
    return not any(entry.previous == base_version for entry in stored.recent)


def _version_error(req: WriteRequest, config: ConfigSet) -> ChangeError | None:
    if not req.restoring and config.version < req.in_force:
        text = f"the store holds version {config.version}, but {req.in_force} is in force"
        return ChangeError(ChangeErrorCode.STORE_BEHIND, text, RESTORE_HINT)
    if req.expected_version is not None and config.version != req.expected_version:
        text = f"version {config.version} is stored, not {req.expected_version}"
        hint = "look at the present values and give the change again"
        return ChangeError(ChangeErrorCode.VERSION_MISMATCH, text, hint)
    return None


def invalid_values_error(text: str) -> ChangeError:
    """Return the refusal of values that the checks at the border named in `text`."""
    return ChangeError(ChangeErrorCode.INVALID, text, "mend the values that are named")


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
    cut = SEGMENT_ENTRIES if len(stored.recent) >= RECENT_ENTRIES else 0
    return PlannedWrite(new, entry, (*stored.recent[cut:], entry), stored.recent[:cut])
