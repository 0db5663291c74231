"""Write the configuration in force on the hosts back to a store that has lost it."""

import asyncio
from typing import ClassVar

from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from almondspindle.commands.fleet import (
    EXIT_REFUSED,
    make_operator,
    operator_name,
    platform_option,
)


class RestoreCommand(Command):
    """Write the highest configuration in force on a host back to the store."""

    name = "restore"
    description = "Write the configuration in force on the hosts back to the store."
    options: ClassVar[list[Option]] = [platform_option()]

    def handle(self) -> int:
        """Restore the configuration and return the exit code."""
        operator = make_operator(str(self.option("platform")))
        outcome = asyncio.run(operator.restore(operator_name()))
        if outcome.is_error():
            self.line_error(f"{outcome.error.message}; {outcome.error.hint}")
            return EXIT_REFUSED
        self.line(f"version {outcome.ok.version} holds the configuration that was in force")
        return 0
