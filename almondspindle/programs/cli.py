"""almondspindle: the command line for operators."""

import sys

from cleo.application import Application

from almondspindle import __version__
from almondspindle.commands.apply import ApplyCommand
from almondspindle.commands.check import CheckCommand
from almondspindle.commands.copies import CopiesCommand
from almondspindle.commands.execute import ExecCommand
from almondspindle.commands.explain import ExplainCommand
from almondspindle.commands.export import ExportCommand
from almondspindle.commands.history import HistoryCommand
from almondspindle.commands.prompt import PromptCommand
from almondspindle.commands.restore import RestoreCommand
from almondspindle.commands.rollouts import RolloutsCommand
from almondspindle.commands.status import StatusCommand

COMMANDS = (
    ApplyCommand,
    CheckCommand,
    CopiesCommand,
    ExecCommand,
    ExplainCommand,
    ExportCommand,
    HistoryCommand,
    PromptCommand,
    RestoreCommand,
    RolloutsCommand,
    StatusCommand,
)


def make_application() -> Application:
    """Return the console application with all commands."""
    app = Application("almondspindle", __version__)
    for command in COMMANDS:
        app.add(command())
    return app


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
