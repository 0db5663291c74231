"""Watch the settings file and apply changes to it, with or without a signal."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass

from almondspindle.core.events import SETTINGS_INVALID, SETTINGS_RELOADED
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Result

POLL_INTERVAL_S = 1.0  # a poll costs one system call


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Report that new settings are in force."""

    cfg: NodeCfg


class SettingsWatcher:
    """Poll the settings file and report each valid change.

    `on_change` is called with the new settings. `cfg` are the settings that are in force already.
    """

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
        """Check the file now and every `POLL_INTERVAL_S` seconds until cancelled."""
        # The file may have changed since it was first read, while signals were still ignored.
        self.reload()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            fingerprint = self._stat_file()
            if fingerprint != self._fingerprint:
                self._fingerprint = fingerprint
                self.reload()

    def reload(self) -> None:
        """Read the file, and report its settings if they are valid and have changed.

        Invalid settings are logged, and the previous ones stay in force.
        """
        result = self._read_settings()
        if result.is_error():
            emit(SETTINGS_INVALID, reason=result.error)
            return
        if result.ok == self._cfg:
            return
        self._cfg = result.ok
        emit(SETTINGS_RELOADED, store=self._cfg.store_address, seeds=list(self._cfg.other_hosts))
        self._on_change(self._cfg)

    def _stat_file(self) -> tuple[int, int] | None:
        path = self._find_path()
        if path is None:
            return None
        try:
            status = os.stat(path)
        except OSError:
            # The file may be absent while it is being replaced; the next poll finds the new one.
            return None
        return status.st_mtime_ns, status.st_size
