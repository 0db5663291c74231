"""Run one statement of the language."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from almondspindle.commands.base import FleetCommand
from almondspindle.language.run import run_line


class ExecCommand(FleetCommand):
    """Run one statement."""

    name = "exec"
    description = 'Run one statement, for example: exec "take zone walvis-a out wait".'
    arguments: ClassVar[list[Argument]] = [argument("statement", "The statement, as one argument.")]

    def handle(self) -> int:
        """Run the statement and return the exit code."""
        line = str(self.argument("statement"))
        return self.run_action(lambda fleet: run_line(line, fleet))
