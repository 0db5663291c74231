"""Let a pytest run succeed despite the failures that KNOWN-RED.txt lists, and print each of them.

Only CI loads this plugin (`-p tests.known_red --known-red FILE`), so that a manual run still fails.
The first line of an entry is the id of one test, and its other lines are indented.
"""

from pathlib import Path

import pytest

PLUGIN_NAME = "known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option for the path of the file."""
    parser.addoption("--known-red", help="file that lists tests known to fail; it may be absent")


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin if the option is given."""
    path = config.getoption("--known-red")
    if path is not None:
        config.pluginmanager.register(KnownRed(read_ids(Path(path))), PLUGIN_NAME)


def read_ids(path: Path) -> list[str]:
    """Return the test ids that the file lists.

    Raise `pytest.UsageError` if a line that is not indented is no test id.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line and not line[0].isspace()]
    invalid = [line for line in lines if "::" not in line]
    if invalid:
        raise pytest.UsageError(f"{path}: not the id of a test: {invalid[0]!r}")
    return [line.strip() for line in lines]


class KnownRed:
    """Record the outcome of each test; let the run succeed if only listed tests failed."""

    def __init__(self, listed: list[str]) -> None:
        self._listed = listed
        self._ran: set[str] = set()
        self._failed: set[str] = set()
        self._is_collected = True

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Record whether a file could not be collected."""
        self._is_collected = self._is_collected and not report.failed

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record that a test ran, and whether it failed in any of its phases."""
        self._ran.add(report.nodeid)
        if report.failed:
            self._failed.add(report.nodeid)

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Set the exit status to 0 if all failed tests are listed and the run was not cut short."""
        was_cut_short = session.shouldfail or session.shouldstop or not self._is_collected
        only_listed_failed = (
            self._failed and self._failed <= set(self._listed) and not was_cut_short
        )
        if session.exitstatus == pytest.ExitCode.TESTS_FAILED and only_listed_failed:
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print every listed test with its outcome."""
        for test in self._listed:
            terminalreporter.write_line(f"KNOWN-RED {self._outcome(test)}: {test}")

    def _outcome(self, test: str) -> str:
        if test not in self._ran:
            return "did not run"
        return "failed" if test in self._failed else "passed"
