"""The base class of all commands: options, the connection to a fleet, output and exit codes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from pydantic import ValidationError

from almondspindle.adapters.platform.models import describe_validation_error
from almondspindle.conf.operator import OperatorCfg
from almondspindle.language.formatting import as_json, as_text, exit_code
from almondspindle.language.replies import ExitCode, Problem, Reply
from almondspindle.operations.connect import connect
from almondspindle.operations.fleet import RemoteFleet

SHARED_OPTIONS: list[Option] = [
    option("platform", None, "Base URL of the platform's service.", flag=False),
    option("token", None, "Token of the operator.", flag=False),
    option("output", "o", "Format of the output: text or json.", flag=False),
    option("wait-bound-s", None, "Time-out of `wait`, in seconds.", flag=False),
]
FORMATTERS: dict[str, Callable[[Reply], str]] = {"text": as_text, "json": as_json}
Action = Callable[[RemoteFleet], Awaitable[Reply]]


class FleetCommand(Command):
    """Base class of commands on a fleet. Options take precedence over environment variables."""

    options: ClassVar[list[Option]] = SHARED_OPTIONS

    def load_settings(self) -> OperatorCfg | None:
        """Return the settings, or print the errors in them and return None."""
        names = [item.name for item in SHARED_OPTIONS]
        options = {name.replace("-", "_"): self.option(name) for name in names}
        try:
            return OperatorCfg(**{name: value for name, value in options.items() if value})
        except ValidationError as exc:
            self.line_error(f"settings: {describe_validation_error(exc)}")
            return None

    def run_action(self, action: Action) -> int:
        """Run `action` on the fleet, print its reply, and return the exit code."""
        cfg = self.load_settings()
        if cfg is None:
            return ExitCode.BAD_INPUT
        return self.print_reply(asyncio.run(self._run_action(cfg, action)), cfg)

    async def _run_action(self, cfg: OperatorCfg, action: Action) -> Reply:
        async with connect(cfg) as fleet:
            return await action(fleet)

    def print_reply(self, reply: Reply, cfg: OperatorCfg) -> int:
        """Print `reply` and return its exit code. A problem is printed to standard error."""
        text = FORMATTERS[cfg.output](reply)
        if isinstance(reply, Problem):
            self.io.write_error_line(text)
        else:
            self.io.write_line(text)
        return exit_code(reply)
