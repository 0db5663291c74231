"""almondspindle: the operators' command line."""

import sys

from cleo.application import Application

from almondspindle import __version__
from almondspindle.commands.history import HistoryCommand
from almondspindle.commands.restore import RestoreCommand
from almondspindle.commands.status import StatusCommand


def make_application() -> Application:
    """Return the application with all its commands."""
    app = Application("almondspindle", __version__)
    app.add(StatusCommand())
    app.add(HistoryCommand())
    app.add(RestoreCommand())
    return app


def main() -> None:
    """Run the program."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
