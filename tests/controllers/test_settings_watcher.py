"""Detection of changes of the settings file while a node runs."""

import asyncio

from almondspindle.controllers.settings import SettingsWatcher
from almondspindle.core.node import NodeCfg
from almondspindle.platform.settings import SETTINGS_VARIABLE, read_settings, settings_path
from tests.standins.node_fleet import settings_file, wait_until


def test_valid_changes_are_reported_once_and_invalid_ones_never(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings_file("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    reported: list[NodeCfg] = []
    watcher = SettingsWatcher(read_settings().ok, read_settings, settings_path, reported.append)
    watcher.reload()
    assert reported == []
    path.write_text("{")
    watcher.reload()
    assert reported == []
    path.write_bytes(settings_file("10.0.0.2:80"))
    watcher.reload()
    watcher.reload()
    assert [cfg.store_address for cfg in reported] == ["10.0.0.2:80"]


def test_a_change_without_a_signal_is_detected(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings_file("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    reported: list[NodeCfg] = []

    async def check() -> None:
        watcher = SettingsWatcher(read_settings().ok, read_settings, settings_path, reported.append)
        task = asyncio.get_running_loop().create_task(watcher.run())
        path.write_bytes(settings_file("10.0.0.22:80"))
        await wait_until(lambda: reported)
        task.cancel()

    asyncio.run(check())
    assert reported[0].store_address == "10.0.0.22:80"


def test_a_change_between_the_first_read_and_the_start_is_detected(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings_file("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    first = read_settings().ok
    path.write_bytes(settings_file("10.0.0.2:80"))
    reported: list[NodeCfg] = []

    async def check() -> None:
        watcher = SettingsWatcher(first, read_settings, settings_path, reported.append)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await wait_until(lambda: reported)
        task.cancel()

    asyncio.run(check())
    assert reported[0].store_address == "10.0.0.2:80"
