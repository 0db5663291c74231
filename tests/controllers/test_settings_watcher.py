"""Settings that change under way."""

import asyncio

from almondspindle.controllers.settings import SettingsWatcher
from almondspindle.core.node import NodeCfg
from almondspindle.platform.settings import SETTINGS_VARIABLE, read_settings, settings_path
from tests.standins.node_fleet import settings, until


def test_valid_changes_are_told_once_and_others_never(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    told: list[NodeCfg] = []
    watcher = SettingsWatcher(read_settings().ok, read_settings, settings_path, told.append)
    watcher.reload()
    assert told == []
    path.write_text("{")
    watcher.reload()
    assert told == []
    path.write_bytes(settings("10.0.0.2:80"))
    watcher.reload()
    watcher.reload()
    assert [cfg.store_address for cfg in told] == ["10.0.0.2:80"]


def test_a_change_without_a_signal_is_found(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    told: list[NodeCfg] = []

    async def check() -> None:
        watcher = SettingsWatcher(read_settings().ok, read_settings, settings_path, told.append)
        task = asyncio.get_running_loop().create_task(watcher.run())
        path.write_bytes(settings("10.0.0.22:80"))
        await until(lambda: told)
        task.cancel()

    asyncio.run(check())
    assert told[0].store_address == "10.0.0.22:80"


def test_a_change_between_the_first_reading_and_the_start_is_found(tmp_path, monkeypatch):
    path = tmp_path / "node.json"
    path.write_bytes(settings("10.0.0.1:80"))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    first = read_settings().ok
    path.write_bytes(settings("10.0.0.2:80"))
    told: list[NodeCfg] = []

    async def check() -> None:
        watcher = SettingsWatcher(first, read_settings, settings_path, told.append)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await until(lambda: told)
        task.cancel()

    asyncio.run(check())
    assert told[0].store_address == "10.0.0.2:80"
