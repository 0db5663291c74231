"""Write configuration changes to the platform's store."""

import asyncio
import secrets
from dataclasses import dataclass
from random import Random

from almondspindle.adapters.platform.base import (
    ABSENT_VERSION,
    Platform,
    StoredObject,
    StoreError,
    StoreErrorCode,
)
from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    HISTORY_PREFIX,
    dump_feed,
    dump_history,
    dump_stored,
    history_object_name,
    parse_feed,
    parse_history,
    parse_stored,
    validate_config,
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
from almondspindle.core.stored_config import ChangeFeed, StoredConfig
from almondspindle.decisions.configuration.writing import (
    AcceptedWrite,
    PlannedWrite,
    WriteRequest,
    may_be_archived,
    plan_write,
)
from almondspindle.decisions.jitter import doubled

NONCE_BYTES = 12
HISTORY_SEARCH_ENTRIES = 128  # latest changes searched for a write of unknown outcome
FEED_ENTRIES = 8  # latest changes in the feed

WriteResult = Result[AcceptedWrite, ChangeError]


@dataclass(frozen=True, slots=True)
class WriterCfg:
    """Limits of the retries of one write.

    The pause before retry n is random with full jitter, up to the lesser of `pause_s` * 2**n and
    `max_pause_s` seconds.
    """

    attempts: int = 8
    pause_s: float = 0.05
    max_pause_s: float = 1.0
    seed: int | None = None


class ConfigWriter:
    """Apply lists of changes as conditional updates.

    A list that is refused has no effect. If the store's response is lost, the writer reads the
    object again and searches for the nonce of its write. It never reports a change as refused
    that may be in force.
    """

    def __init__(self, platform: Platform, clock: Clock, cfg: WriterCfg | None = None) -> None:
        self._platform = platform
        self._clock = clock
        self._cfg = cfg or WriterCfg()
        self._random = Random(self._cfg.seed)

    async def read(self) -> Result[StoredConfig, ChangeError]:
        """Return the stored configuration with its recent changes."""
        found = await self._platform.read(CONFIG_OBJECT)
        return found.map_error(store_unavailable).bind(_parse)

    async def _read_for(self, req: WriteRequest) -> Result[StoredConfig, ChangeError]:
        if not req.restoring:
            return await self.read()
        found = await self._platform.read(CONFIG_OBJECT)
        return found.map_error(store_unavailable).map(_parse_or_empty)

    async def history(self, count: int) -> Result[tuple[HistoryEntry, ...], ChangeError]:
        """Return the latest `count` accepted changes, newest first."""
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
    ) -> WriteResult:
        """Write `changes` as one update and return the version that contains them.

        `in_force` is the highest version known to be in force on a host. If the store holds a
        lower one, the write is refused.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        return await self._write(WriteRequest(changes, operator, nonce, expected_version, in_force))

    async def restore(self, config: ConfigSet, operator: str) -> WriteResult:
        """Write `config`, which is in force on hosts, back to a store that has lost it."""
        nonce = secrets.token_hex(NONCE_BYTES)
        changes = (ReplaceAll(config),)
        req = WriteRequest(changes, operator, nonce, in_force=config.version, restoring=True)
        return await self._write(req)

    async def _write(self, req: WriteRequest) -> WriteResult:
        unconfirmed_base: int | None = None
        error = ChangeError(ChangeErrorCode.STORE_UNAVAILABLE, "no write was attempted")
        for attempt in range(self._cfg.attempts):
            await self._pause(attempt)
            stored = await self._read_for(req)
            if stored.is_error():
                error = stored.error
                if error.code is not ChangeErrorCode.STORE_UNAVAILABLE:
                    return Error(error)
                continue
            if unconfirmed_base is not None and may_be_archived(unconfirmed_base, stored.ok):
                return await self._find_in_history(req)
            plan = plan_write(req, stored.ok, validate_config, self._clock.wall())
            if plan.is_error():
                error = plan.error
                if error.code is ChangeErrorCode.STORE_BEHIND:
                    continue  # the read may have been stale
                return Error(error)
            if isinstance(plan.ok, AcceptedWrite):
                return await self._publish(plan.ok, _make_feed(stored.ok))
            if unconfirmed_base is not None and stored.ok.config.version > unconfirmed_base:
                # Another write replaced that version, so the unconfirmed write had no effect.
                unconfirmed_base = None
            archived = await self._archive(plan.ok.to_archive)
            if archived.is_error():
                error = _write_failed(archived.error)
                continue
            written = await self._write_config(plan.ok, stored.ok.store_version)
            if written.is_ok():
                recent = plan.ok.recent[-FEED_ENTRIES:]
                feed = ChangeFeed(plan.ok.config.version, written.ok, recent)
                return await self._publish(AcceptedWrite(feed.version, plan.ok.entry), feed)
            if written.error.code is StoreErrorCode.TOO_LARGE:
                return Error(_too_large(written.error))
            if written.error.code is StoreErrorCode.UNAVAILABLE:
                unconfirmed_base = stored.ok.config.version
            error = _write_failed(written.error)
        return Error(
            _outcome_unknown(req, error.message) if unconfirmed_base is not None else error
        )

    async def _find_in_history(self, req: WriteRequest) -> WriteResult:
        # So many changes followed the write that only the history can show its outcome.
        found = await self.history(HISTORY_SEARCH_ENTRIES)
        for entry in found.ok if found.is_ok() else ():
            if entry.nonce == req.nonce:
                return Ok(AcceptedWrite(entry.version, entry))
        return Error(_outcome_unknown(req, "many other changes followed"))

    async def _write_config(self, plan: PlannedWrite, expected: int) -> Result[int, StoreError]:
        value = dump_stored(plan.config, plan.recent)
        return await self._platform.write(CONFIG_OBJECT, value, expected)

    async def _archive(self, entries: tuple[HistoryEntry, ...]) -> Result[None, StoreError]:
        if not entries:
            return Ok(None)
        # The name is derived from the entries, so a conflict means that they are already stored.
        written = await self._platform.write(
            history_object_name(entries), dump_history(entries), ABSENT_VERSION
        )
        if written.is_error() and written.error.code is not StoreErrorCode.CONFLICT:
            return Error(written.error)
        return Ok(None)

    async def _publish(self, accepted: AcceptedWrite, feed: ChangeFeed) -> WriteResult:
        if accepted.entry is None:
            return Ok(accepted)
        emit(CONFIG_WRITTEN, version=accepted.version, operator=accepted.entry.operator)
        # If this write fails, dissemination is only delayed: watchers also check the version of the
        # configuration object.
        written = await self._write_feed(feed)
        if written.is_error():
            emit(CONFIG_FEED_LATE, version=accepted.version, reason=written.error.message)
        return Ok(accepted)

    async def _write_feed(self, feed: ChangeFeed) -> Result[None, StoreError]:
        for _ in range(self._cfg.attempts):
            found = await self._platform.read(FEED_OBJECT)
            if found.is_error():
                return Error(found.error)
            if _feed_includes(found.ok, feed):
                return Ok(None)
            value = dump_feed(feed)
            written = await self._platform.write(FEED_OBJECT, value, found.ok.version)
            if written.is_ok():
                return Ok(None)
            if written.error.code is not StoreErrorCode.CONFLICT:
                return Error(written.error)
        return Error(StoreError(StoreErrorCode.CONFLICT, "too many concurrent writes of the feed"))

    async def _pause(self, attempt: int) -> None:
        if attempt > 0:
            max_pause_s = doubled(self._cfg.pause_s, attempt, self._cfg.max_pause_s)
            await asyncio.sleep(self._random.uniform(0.0, max_pause_s))


def _parse(found: StoredObject) -> Result[StoredConfig, ChangeError]:
    if found.version == ABSENT_VERSION:
        return Ok(StoredConfig(ConfigSet(), ABSENT_VERSION))
    return parse_stored(found.value, found.version).map_error(
        lambda text: ChangeError(
            ChangeErrorCode.STORED_INVALID,
            f"the stored configuration is not valid: {text}",
            "correct the stored object, or restore the configuration in force",
        )
    )


def _parse_or_empty(found: StoredObject) -> StoredConfig:
    parsed = _parse(found)
    return parsed.ok if parsed.is_ok() else StoredConfig(ConfigSet(), found.version)


def _make_feed(stored: StoredConfig) -> ChangeFeed:
    recent = stored.recent[-FEED_ENTRIES:]
    return ChangeFeed(stored.config.version, stored.store_version, recent)


def _feed_includes(found: StoredObject, feed: ChangeFeed) -> bool:
    """Return whether a stored feed contains the newest change of `feed`, or only newer changes.

    Comparing versions alone is not enough: a store that has lost changes may still hold a feed of
    the lost changes, which have the same version numbers.
    """
    parsed = parse_feed(found.value)
    if parsed.is_error() or parsed.ok.version < feed.version or not parsed.ok.entries:
        return False
    stored = {(entry.version, entry.nonce) for entry in parsed.ok.entries}
    newest = feed.entries[-1]
    all_newer = parsed.ok.entries[0].version > newest.version
    return all_newer or (newest.version, newest.nonce) in stored


def store_unavailable(error: StoreError) -> ChangeError:
    """Return the error of a command while the store is unavailable."""
    text = f"the store is unavailable, nothing was changed: {error.message}"
    hint = "the last configuration stays in force; repeat the command when the store is available"
    return ChangeError(ChangeErrorCode.STORE_UNAVAILABLE, text, hint)


def _outcome_unknown(req: WriteRequest, reason: str) -> ChangeError:
    text = f"the change may or may not have been accepted: {reason}"
    hint = f"search the history for nonce {req.nonce} before you repeat the change"
    return ChangeError(ChangeErrorCode.OUTCOME_UNKNOWN, text, hint)


def _too_large(error: StoreError) -> ChangeError:
    return ChangeError(ChangeErrorCode.TOO_LARGE, error.message, "delete unused objects")


def _write_failed(error: StoreError) -> ChangeError:
    if error.code is StoreErrorCode.CONFLICT:
        hint = "repeat the command"
        return ChangeError(ChangeErrorCode.TOO_MANY_CONFLICTS, error.message, hint)
    return store_unavailable(error)
