"""Show the configuration version and the hosts and targets in the platform's list."""

import asyncio
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.adapters.platform.stored_config import CONFIG_OBJECT

EXIT_UNAVAILABLE = 3


class StatusCommand(Command):
    """Show what the platform holds."""

    name = "status"
    description = "Show the configuration version and the listed hosts and targets."
    options: ClassVar[list[Option]] = [
        option("platform", None, "Base URL of the platform's service.", flag=False)
    ]

    def handle(self) -> int:
        """Print the status and return the exit code."""
        return asyncio.run(self._show(str(self.option("platform"))))

    async def _show(self, url: str) -> int:
        platform = HttpPlatform(url)
        stored = await platform.read(CONFIG_OBJECT)
        roster = await platform.roster()
        if stored.is_error() or roster.is_error():
            self.line_error("the platform does not answer")
            return EXIT_UNAVAILABLE
        self.line(f"configuration version {stored.ok.version}")
        for host in roster.ok.hosts.values():
            self.line(f"host {host.name} {host.zone} {host.state}")
        for target in roster.ok.targets.values():
            self.line(f"target {target.name} {target.service} {target.zone} {target.state}")
        return 0
