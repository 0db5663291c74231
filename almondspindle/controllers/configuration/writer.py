"""Write changes of the configuration to the platform's store."""

import asyncio
import secrets
from dataclasses import dataclass
from random import Random

from almondspindle.adapters.platform.base import (
    ABSENT,
    Platform,
    StoredObject,
    StoreError,
    StoreErrorCode,
)
from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    HISTORY_PREFIX,
    check_config,
    dump_feed,
    dump_history,
    dump_stored,
    history_name,
    parse_feed,
    parse_history,
    parse_stored,
)
from almondspindle.core.changes import (
    Change,
    ChangeError,
    ChangeErrorCode,
    HistoryEntry,
    ReplaceAll,
)
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet
from almondspindle.core.events import CONFIG_FEED_LATE, CONFIG_WRITTEN
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.stored import ChangeFeed, StoredConfig
from almondspindle.decisions.configuration.writing import (
    AcceptedWrite,
    PlannedWrite,
    WriteRequest,
    may_be_archived,
    plan_write,
)

NONCE_BYTES = 12
SEARCHED_ENTRIES = 128  # latest changes in which a write of unknown outcome is looked for
FEED_ENTRIES = 8  # latest changes that the feed carries

Written = Result[AcceptedWrite, ChangeError]


@dataclass(frozen=True, slots=True)
class WriterCfg:
    """Bounds on the tries of one write. Pauses are in seconds and drawn with full jitter."""

    attempts: int = 8
    pause_s: float = 0.05
    longest_pause_s: float = 1.0
    seed: int | None = None


class ConfigWriter:
    """Apply lists of changes as conditional updates.

    A refused list changes nothing. After a lost answer the writer reads the object back and looks
    for its own nonce; it never reports a change as refused that may be in force.
    """

    def __init__(self, platform: Platform, clock: Clock, cfg: WriterCfg | None = None) -> None:
        self._platform = platform
        self._clock = clock
        self._cfg = cfg or WriterCfg()
        self._random = Random(self._cfg.seed)

    async def read(self) -> Result[StoredConfig, ChangeError]:
        """Return the stored configuration with its latest changes."""
        found = await self._platform.read(CONFIG_OBJECT)
        return found.map_error(store_unavailable).bind(_parse)

    async def _read_for(self, req: WriteRequest) -> Result[StoredConfig, ChangeError]:
        if not req.restoring:
            return await self.read()
        found = await self._platform.read(CONFIG_OBJECT)
        return found.map_error(store_unavailable).map(_parse_or_empty)

    async def history(self, count: int) -> Result[tuple[HistoryEntry, ...], ChangeError]:
        """Return the latest `count` accepted changes, the latest one first."""
        stored = await self.read()
        names = (await self._platform.list_names(HISTORY_PREFIX)).map_error(store_unavailable)
        if stored.is_error() or names.is_error():
            return Error(stored.error if stored.is_error() else names.error)
        found = list(reversed(stored.ok.recent))
        for name in sorted(names.ok, reverse=True):
            if len(found) >= count:
                break
            segment = await self._platform.read(name)
            if segment.is_error():
                return Error(store_unavailable(segment.error))
            entries = parse_history(segment.ok.value)
            if entries.is_ok():
                known = {entry.nonce for entry in found}
                found += [entry for entry in reversed(entries.ok) if entry.nonce not in known]
        return Ok(tuple(found[:count]))

    async def submit(
        self,
        changes: tuple[Change, ...],
        operator: str,
        expected_version: int | None = None,
        in_force: int = 0,
    ) -> Written:
        """Write `changes` as one update and return the version that holds them.

        `in_force` is the highest version known to be in force on a host.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        return await self._write(WriteRequest(changes, operator, nonce, expected_version, in_force))

    async def restore(self, config: ConfigSet, operator: str) -> Written:
        """Write the configuration in force back to a store that has lost it."""
        nonce = secrets.token_hex(NONCE_BYTES)
        changes = (ReplaceAll(config),)
        req = WriteRequest(changes, operator, nonce, in_force=config.version, restoring=True)
        return await self._write(req)

    async def _write(self, req: WriteRequest) -> Written:
        tried_over: int | None = None
        last = ChangeError(ChangeErrorCode.STORE_UNAVAILABLE, "the store was not asked")
        for attempt in range(self._cfg.attempts):
            await self._pause(attempt)
            stored = await self._read_for(req)
            if stored.is_error():
                last = stored.error
                if last.code is not ChangeErrorCode.STORE_UNAVAILABLE:
                    return Error(last)
                continue
            if tried_over is not None and may_be_archived(tried_over, stored.ok):
                return await self._search(req)
            plan = plan_write(req, stored.ok, check_config, self._clock.wall())
            if plan.is_error():
                last = plan.error
                if last.code is ChangeErrorCode.STORE_BEHIND:
                    continue  # the read may have been stale
                return Error(last)
            if isinstance(plan.ok, AcceptedWrite):
                return await self._accepted(plan.ok, _feed_of(stored.ok))
            if tried_over is not None and stored.ok.config.version > tried_over:
                tried_over = None  # another write came first, so the earlier try had no effect
            kept = await self._archive(plan.ok.to_archive)
            if kept.is_error():
                last = _failed(kept.error)
                continue
            written = await self._update(plan.ok, stored.ok.store_version)
            if written.is_ok():
                recent = plan.ok.recent[-FEED_ENTRIES:]
                feed = ChangeFeed(plan.ok.config.version, written.ok, recent)
                return await self._accepted(AcceptedWrite(feed.version, plan.ok.entry), feed)
            if written.error.code is StoreErrorCode.TOO_LARGE:
                return Error(_too_large(written.error))
            if written.error.code is StoreErrorCode.UNAVAILABLE:
                tried_over = stored.ok.config.version
            last = _failed(written.error)
        return Error(_unknown(req, last.message) if tried_over is not None else last)

    async def _search(self, req: WriteRequest) -> Written:
        # So many changes were made since the write that only the history can tell its outcome.
        found = await self.history(SEARCHED_ENTRIES)
        for entry in found.ok if found.is_ok() else ():
            if entry.nonce == req.nonce:
                return Ok(AcceptedWrite(entry.version, entry))
        return Error(_unknown(req, "many other changes were made since"))

    async def _update(self, plan: PlannedWrite, expected: int) -> Result[int, StoreError]:
        value = dump_stored(plan.config, plan.recent)
        return await self._platform.write(CONFIG_OBJECT, value, expected)

    async def _archive(self, entries: tuple[HistoryEntry, ...]) -> Result[None, StoreError]:
        # The name follows from the entries, so a conflict means that they are there already.
        if not entries:
            return Ok(None)
        kept = await self._platform.write(history_name(entries), dump_history(entries), ABSENT)
        if kept.is_error() and kept.error.code is not StoreErrorCode.CONFLICT:
            return Error(kept.error)
        return Ok(None)

    async def _accepted(self, accepted: AcceptedWrite, feed: ChangeFeed) -> Written:
        # The feed only speeds up the spread: watchers ask for the object's version now and then.
        if accepted.entry is None:
            return Ok(accepted)
        emit(CONFIG_WRITTEN, version=accepted.version, operator=accepted.entry.operator)
        fed = await self._write_feed(feed)
        if fed.is_error():
            emit(CONFIG_FEED_LATE, version=accepted.version, reason=fed.error.message)
        return Ok(accepted)

    async def _write_feed(self, feed: ChangeFeed) -> Result[None, StoreError]:
        for _ in range(self._cfg.attempts):
            found = await self._platform.read(FEED_OBJECT)
            if found.is_error():
                return Error(found.error)
            if _includes(found.ok, feed):
                return Ok(None)
            value = dump_feed(feed)
            written = await self._platform.write(FEED_OBJECT, value, found.ok.version)
            if written.is_ok():
                return Ok(None)
            if written.error.code is not StoreErrorCode.CONFLICT:
                return Error(written.error)
        return Error(StoreError(StoreErrorCode.CONFLICT, "other writers kept changing the feed"))

    async def _pause(self, attempt: int) -> None:
        if attempt > 0:
            bound = min(self._cfg.longest_pause_s, self._cfg.pause_s * 2**attempt)
            await asyncio.sleep(self._random.uniform(0.0, bound))


def _parse(found: StoredObject) -> Result[StoredConfig, ChangeError]:
    if found.version == ABSENT:
        return Ok(StoredConfig(ConfigSet(), ABSENT))
    return parse_stored(found.value, found.version).map_error(
        lambda text: ChangeError(
            ChangeErrorCode.STORED_INVALID,
            f"the stored configuration is not valid: {text}",
            "mend the stored object, or write the configuration in force back",
        )
    )


def _parse_or_empty(found: StoredObject) -> StoredConfig:
    parsed = _parse(found)
    return parsed.ok if parsed.is_ok() else StoredConfig(ConfigSet(), found.version)


def _feed_of(stored: StoredConfig) -> ChangeFeed:
    recent = stored.recent[-FEED_ENTRIES:]
    return ChangeFeed(stored.config.version, stored.store_version, recent)


def _includes(found: StoredObject, feed: ChangeFeed) -> bool:
    """Return whether a stored feed is as new as `feed`, and of the same lineage.

    A store that has lost changes may still hold a feed of the lost ones, under the same versions.
    """
    parsed = parse_feed(found.value)
    if parsed.is_error() or parsed.ok.version < feed.version or not parsed.ok.entries:
        return False
    same = {(entry.version, entry.nonce) for entry in parsed.ok.entries}
    newest = feed.entries[-1]
    passed = parsed.ok.entries[0].version > newest.version
    return passed or (newest.version, newest.nonce) in same


def store_unavailable(error: StoreError) -> ChangeError:
    """Return the refusal of a command while the store gives no answer."""
    text = f"the store does not answer, nothing was changed: {error.message}"
    hint = "the last configuration stays in force; repeat the command when the store is back"
    return ChangeError(ChangeErrorCode.STORE_UNAVAILABLE, text, hint)


def _unknown(req: WriteRequest, reason: str) -> ChangeError:
    text = f"the change may or may not have been accepted: {reason}"
    hint = f"look for nonce {req.nonce} in the history before you repeat it"
    return ChangeError(ChangeErrorCode.OUTCOME_UNKNOWN, text, hint)


def _too_large(error: StoreError) -> ChangeError:
    return ChangeError(ChangeErrorCode.TOO_LARGE, error.message, "delete objects that are unused")


def _failed(error: StoreError) -> ChangeError:
    if error.code is StoreErrorCode.CONFLICT:
        hint = "repeat the command"
        return ChangeError(ChangeErrorCode.TOO_MANY_CONFLICTS, error.message, hint)
    return store_unavailable(error)
