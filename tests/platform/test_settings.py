"""Test reading the settings file of a process."""

import json

import pytest

from almondspindle.platform.settings import SETTINGS_VARIABLE, parse_settings, read_settings

GOOD = {
    "node": "edge-a-1",
    "zone": "a",
    "ip": "10.1.0.4",
    "listen": {"front": "10.1.0.4:8227", "ready": "10.1.0.4:8220", "control": "10.1.0.4:8229"},
    "internal_ports": [7340, 7355],
    "seeds": ["10.1.0.4:8229", "10.2.0.9:8229"],
    "limits": {"max_fds": 4200, "cpu_share": 0.5},
    "bounds": {"drain_ms": 2500, "grace_s": 8, "cap_x": 2, "retry_slack": 52},
    "platform": {"addr": "10.200.1.7:8223", "form": "objects"},
    "a_field_of_a_later_version": {"x": [1]},
}


def parse(**changes: object):
    return parse_settings(json.dumps({**GOOD, **changes}).encode())


def test_settings_are_read_and_units_converted():
    cfg = parse().ok
    assert (cfg.host, cfg.zone, cfg.store_address) == ("edge-a-1", "a", "10.200.1.7:8223")
    assert cfg.bounds.drain_s == 2.5
    assert cfg.bounds.grace_s == 8.0
    assert cfg.other_hosts == ("10.1.0.4", "10.2.0.9")
    assert cfg.peer_port != cfg.metrics_port


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"node": 7}, "node"),
        ({"listen": {"front": "nowhere", "ready": "10.1.0.4:1"}}, "listen.front"),
        ({"internal_ports": [7340, 7340]}, "internal_ports"),
        ({"internal_ports": "7340"}, "internal_ports"),
        ({"bounds": {"drain_ms": "soon"}}, "bounds.drain_ms"),
        ({"platform": {}}, "platform"),
    ],
)
def test_error_is_one_line_that_names_the_invalid_field(changes, field):
    reason = parse(**changes).error
    assert field in reason
    assert "\n" not in reason


def test_error_names_the_missing_or_truncated_file(monkeypatch, tmp_path):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert SETTINGS_VARIABLE in read_settings().error
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / "none.json"))
    assert "none.json" in read_settings().error
    (tmp_path / "half.json").write_text('{"node": ')
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / "half.json"))
    assert "half.json" in read_settings().error
