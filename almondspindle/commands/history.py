"""Show the history of the configuration: the operator, the time, and old and new values."""

from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from almondspindle.commands.base import SHARED_OPTIONS, FleetCommand
from almondspindle.language.replies import ExitCode, HistoryShown, Reply
from almondspindle.operations.fleet import RemoteFleet

DEFAULT_COUNT = 20


class HistoryCommand(FleetCommand):
    """Show the latest accepted changes."""

    name = "history"
    description = "Show the latest accepted changes of the configuration."
    options: ClassVar[list[Option]] = [
        *SHARED_OPTIONS,
        option("count", None, "Number of changes.", flag=False, default=str(DEFAULT_COUNT)),
    ]

    def handle(self) -> int:
        """Print the changes and return the exit code."""
        count = str(self.option("count"))
        if not count.isdecimal() or int(count) == 0:
            self.line_error("--count must be an integer above 0")
            return ExitCode.BAD_INPUT
        return self.run_action(lambda fleet: _history(fleet, int(count)))


async def _history(fleet: RemoteFleet, count: int) -> Reply:
    history = await fleet.read_history(count)
    return HistoryShown(history.ok) if history.is_ok() else history.error
