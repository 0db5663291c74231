"""Tests for the precedence and validation of settings."""

import pytest

from almondspindle.conf.base import load_settings
from almondspindle.conf.entry import EntryCfg
from almondspindle.conf.router import RouterCfg


def test_flags_override_environment_variables(monkeypatch):
    monkeypatch.setenv("ALMONDSPINDLE_ZONE", "walvis-a")
    monkeypatch.setenv("ALMONDSPINDLE_LISTEN", "127.0.0.1:1")
    cfg = load_settings(
        EntryCfg, ["--host", "h1", "--routers", '["127.0.0.1:9"]', "--listen", "127.0.0.1:2"]
    )
    assert (cfg.zone, cfg.listen, cfg.routers) == ("walvis-a", "127.0.0.1:2", ["127.0.0.1:9"])


def test_all_errors_are_printed_at_once(capsys):
    with pytest.raises(SystemExit) as exc:
        load_settings(RouterCfg, ["--listen", "nowhere", "--platform", "ftp://x", "--host", "h1"])
    assert exc.value.code == 2
    stderr = capsys.readouterr().err
    assert all(flag in stderr for flag in ("--listen", "--platform", "--zone"))
    assert "ALMONDSPINDLE_ZONE" in stderr
