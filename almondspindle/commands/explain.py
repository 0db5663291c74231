"""Explain the routing of a chat, or the state of an idempotency key."""

from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from almondspindle.commands.base import SHARED_OPTIONS, FleetCommand
from almondspindle.language.replies import ExitCode
from almondspindle.language.run import run
from almondspindle.language.statements import ExplainChat, ExplainKey, Statement


class ExplainCommand(FleetCommand):
    """Explain the routing of a chat, or the state of an idempotency key."""

    name = "explain"
    description = "Explain the routing of a chat, or the state of an idempotency key."
    arguments: ClassVar[list[Argument]] = [
        argument("what", "`chat` or `key`."),
        argument("id", "The chat id, or the idempotency key."),
        argument("service", "The service."),
    ]
    options: ClassVar[list[Option]] = [
        *SHARED_OPTIONS,
        option("team", None, "The team that sent the key.", flag=False),
    ]

    def handle(self) -> int:
        """Print the explanation and return the exit code."""
        statement = self._build_statement()
        if isinstance(statement, str):
            self.line_error(statement)
            return ExitCode.BAD_INPUT
        return self.run_action(lambda fleet: run(statement, fleet))

    def _build_statement(self) -> Statement | str:
        """Return the statement, or an error message."""
        what, subject, service = (str(self.argument(n)) for n in ("what", "id", "service"))
        if what == "chat":
            return ExplainChat(subject, service)
        if what != "key":
            return f"explain {what!r}: must be `chat` or `key`"
        team = self.option("team")
        return ExplainKey(subject, service, str(team)) if team else "explain key requires --team"
