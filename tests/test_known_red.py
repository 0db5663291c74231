"""Tests for the plugin that lets CI succeed despite tests that are known to fail."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SAMPLE_TESTS = """
import pytest

@pytest.mark.parametrize("n", [1, 2])
def test_red(n):
    assert n > 2

@pytest.fixture
def broken():
    raise ValueError

def test_setup(broken):
    pass

def test_green():
    pass
"""
RED_1, RED_2 = "test_sample.py::test_red[1]", "test_sample.py::test_red[2]"
SETUP_FAILURE, GREEN = "test_sample.py::test_setup", "test_sample.py::test_green"
ALL = (RED_1, RED_2, SETUP_FAILURE)
# Name, listed tests, additional arguments, exit status, and lines that must be printed.
CASES = [
    ("all listed", ALL, (), 0, [f"KNOWN-RED failed: {test}" for test in ALL]),
    ("one not listed", (RED_1, SETUP_FAILURE), (), 1, [f"KNOWN-RED failed: {RED_1}"]),
    ("no parameter", ("test_sample.py::test_red", SETUP_FAILURE), (), 1, ["KNOWN-RED did not run"]),
    ("listed passes", (*ALL, GREEN), (), 0, [f"KNOWN-RED passed: {GREEN}"]),
    ("not a test", ("some words",), (), 4, ["not the id of a test: 'some words'"]),
    ("absent", None, (), 1, []),
    ("cut short", ALL, ("-x",), 1, [f"KNOWN-RED did not run: {RED_2}"]),
    ("without the flag", ALL, None, 1, []),
]


@pytest.mark.parametrize(
    ("case", "listed", "extra", "status", "lines"), CASES, ids=[case[0] for case in CASES]
)
def test_only_listed_failures_are_ignored(tmp_path, case, listed, extra, status, lines):
    (tmp_path / "test_sample.py").write_text(SAMPLE_TESTS)
    if listed is not None:
        entries = (f"{test}\n  seen: always\n" for test in listed)
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(entries))
    flags = () if extra is None else ("--known-red", "KNOWN-RED.txt", *extra)
    args = [sys.executable, "-m", "pytest", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    result = subprocess.run(
        [*args, *flags, "--rootdir", ".", "test_sample.py"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    assert result.returncode == status, result.stdout + result.stderr
    assert all(line in result.stdout + result.stderr for line in lines)
