"""Explain where a chat goes, or what is known of an idempotency key."""

from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from almondspindle.commands.base import SHARED_OPTIONS, FleetCommand
from almondspindle.language.replies import ExitCode
from almondspindle.language.run import run
from almondspindle.language.statements import ExplainChat, ExplainKey, Statement


class ExplainCommand(FleetCommand):
    """Explain a chat or a key."""

    name = "explain"
    description = "Explain a chat, or an idempotency key."
    arguments: ClassVar[list[Argument]] = [
        argument("what", "`chat` or `key`."),
        argument("id", "The chat's id, or the key."),
        argument("service", "The service."),
    ]
    options: ClassVar[list[Option]] = [
        *SHARED_OPTIONS,
        option("team", None, "The team that sent the key.", flag=False),
    ]

    def handle(self) -> int:
        """Print the explanation and return the exit code."""
        made = self._statement()
        if isinstance(made, str):
            self.line_error(made)
            return ExitCode.BAD_INPUT
        return self.act(lambda fleet: run(made, fleet))

    def _statement(self) -> Statement | str:
        what, subject, service = (str(self.argument(n)) for n in ("what", "id", "service"))
        if what == "chat":
            return ExplainChat(subject, service)
        if what != "key":
            return f"explain {what!r}: say `chat` or `key`"
        team = self.option("team")
        return ExplainKey(subject, service, str(team)) if team else "explain key needs --team"
