"""Follow the settings file, which changes with a signal or without one."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.core.events import SETTINGS_INVALID, SETTINGS_RELOADED
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Result

LOOK_S = 1.0  # a look costs one system call


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings are in force."""

    cfg: NodeCfg


class SettingsWatcher:
    """The task that owns the settings file's state and tells of valid changes."""

    def __init__(
        self,
        cfg: NodeCfg,
        read: Callable[[], Result[NodeCfg, str]],
        path: Callable[[], str | None],
        tell: Callable[[NodeCfg], None],
    ) -> None:
        self._cfg = cfg
        self._read = read
        self._path = path
        self._tell = tell
        self._seen = self._mark()

    async def run(self) -> None:
        """Look at the file now and every `LOOK_S` seconds until cancelled."""
        # It may have changed between the first reading and now, while signals were ignored.
        self.look()
        while True:
            await asyncio.sleep(LOOK_S)
            mark = self._mark()
            if mark != self._seen:
                self._seen = mark
                self.look()

    def look(self) -> None:
        """Read the file, and tell of its settings if they are valid and others than before."""
        found = self._read()
        if found.is_error():
            emit(SETTINGS_INVALID, reason=found.error)
            return
        if found.ok == self._cfg:
            return
        self._cfg = found.ok
        emit(SETTINGS_RELOADED, store=self._cfg.store_address, seeds=list(self._cfg.other_hosts))
        self._tell(self._cfg)

    def _mark(self) -> tuple[int, int] | None:
        path = self._path()
        if path is None:
            return None
        try:
            found = os.stat(path)
        except OSError:
            # A file that is being replaced is there again at the next look.
            return None
        return found.st_mtime_ns, found.st_size
