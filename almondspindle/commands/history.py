"""Show who changed the configuration, when, and from which value to which."""

import asyncio
from datetime import UTC, datetime
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from almondspindle.commands.fleet import EXIT_UNAVAILABLE, make_operator, platform_option
from almondspindle.core.changes import HistoryEntry
from almondspindle.decisions.configuration.delta import describe_entry

DEFAULT_COUNT = 20
EXIT_BAD_INPUT = 2


class HistoryCommand(Command):
    """Show the latest accepted changes."""

    name = "history"
    description = "Show the latest accepted changes of the configuration."
    options: ClassVar[list[Option]] = [
        platform_option(),
        option("count", None, "Number of changes.", flag=False, default=str(DEFAULT_COUNT)),
    ]

    def handle(self) -> int:
        """Print the changes and return the exit code."""
        count = str(self.option("count"))
        if not count.isdecimal() or int(count) == 0:
            self.line_error("--count: give a number above 0")
            return EXIT_BAD_INPUT
        operator = make_operator(str(self.option("platform")))
        found = asyncio.run(operator.history(int(count)))
        if found.is_error():
            self.line_error(f"{found.error.message}; {found.error.hint}")
            return EXIT_UNAVAILABLE
        for entry in found.ok:
            self._show(entry)
        return 0

    def _show(self, entry: HistoryEntry) -> None:
        at = datetime.fromtimestamp(entry.at, UTC).isoformat(timespec="seconds")
        self.line(f"version {entry.version} at {at} by {entry.operator}, nonce {entry.nonce}")
        for line in describe_entry(entry):
            self.line(f"  {line}")
