"""Follow the settings file, which changes with a signal or without one."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.core.events import SETTINGS_INVALID, SETTINGS_RELOADED
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Result

POLL_INTERVAL_S = 1.0  # a look costs one system call


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings are in force."""

    cfg: NodeCfg


class SettingsWatcher:
    """The task that owns the settings file's state and tells of valid changes."""

    def __init__(
        self,
        cfg: NodeCfg,
        read_settings: Callable[[], Result[NodeCfg, str]],
        find_path: Callable[[], str | None],
        on_change: Callable[[NodeCfg], None],
    ) -> None:
        self._cfg = cfg
        self._read_settings = read_settings
        self._find_path = find_path
        self._on_change = on_change
        self._fingerprint = self._stat_file()

    async def run(self) -> None:
        """Look at the file now and every `LOOK_S` seconds until cancelled."""
        # It may have changed between the first reading and now, while signals were ignored.
        self.reload()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            mark = self._stat_file()
            if mark != self._fingerprint:
                self._fingerprint = mark
                self.reload()

    def reload(self) -> None:
        """Read the file, and tell of its settings if they are valid and others than before."""
        found = self._read_settings()
        if found.is_error():
            emit(SETTINGS_INVALID, reason=found.error)
            return
        if found.ok == self._cfg:
            return
        self._cfg = found.ok
        emit(SETTINGS_RELOADED, store=self._cfg.store_address, seeds=list(self._cfg.other_hosts))
        self._on_change(self._cfg)

    def _stat_file(self) -> tuple[int, int] | None:
        path = self._find_path()
        if path is None:
            return None
        try:
            found = os.stat(path)
        except OSError:
            # A file that is being replaced is there again at the next look.
            return None
        return found.st_mtime_ns, found.st_size
