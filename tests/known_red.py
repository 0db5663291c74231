"""Let a pytest run pass over the failures that KNOWN-RED.txt lists, and print each of them.

Loaded by CI alone (`-p tests.known_red --known-red FILE`), so that a run by hand stays red. The
first line of an entry is the id of one test; the lines below it are indented.
"""

from pathlib import Path

import pytest

PLUGIN_NAME = "known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the flag that names the file."""
    parser.addoption("--known-red", help="file of tests that are known to fail; may be absent")


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin for the file that the flag names."""
    path = config.getoption("--known-red")
    if path is not None:
        config.pluginmanager.register(KnownRed(read_ids(Path(path))), PLUGIN_NAME)


def read_ids(path: Path) -> list[str]:
    """Return the test ids of the file; raise `pytest.UsageError` for a line that is none."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line and not line[0].isspace()]
    wrong = [line for line in lines if "::" not in line]
    if wrong:
        raise pytest.UsageError(f"{path}: not the id of a test: {wrong[0]!r}")
    return [line.strip() for line in lines]


class KnownRed:
    """Collect the outcome of every test and ease the verdict for listed failures alone."""

    def __init__(self, listed: list[str]) -> None:
        self._listed = listed
        self._ran: set[str] = set()
        self._failed: set[str] = set()
        self._is_collected = True

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Note a file that could not be collected."""
        self._is_collected = self._is_collected and not report.failed

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a test that ran, and one that failed in any of its phases."""
        self._ran.add(report.nodeid)
        if report.failed:
            self._failed.add(report.nodeid)

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Turn the exit status to 0 if all that failed is listed and nothing was left out."""
        was_cut_short = session.shouldfail or session.shouldstop or not self._is_collected
        is_eased = self._failed and self._failed <= set(self._listed) and not was_cut_short
        if session.exitstatus == pytest.ExitCode.TESTS_FAILED and is_eased:
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print every listed test with its outcome."""
        for test in self._listed:
            terminalreporter.write_line(f"KNOWN-RED {self._outcome(test)}: {test}")

    def _outcome(self, test: str) -> str:
        if test not in self._ran:
            return "did not run"
        return "failed" if test in self._failed else "passed"
