"""Apply a document of commands as one change, or show the changes it would make."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from almondspindle.commands.base import SHARED_OPTIONS, FleetCommand
from almondspindle.core.changes import Change
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.document import parse_document
from almondspindle.language.replies import DryRunShown, ExitCode, Problem, Reply
from almondspindle.language.run import run
from almondspindle.language.statements import Command as Statement
from almondspindle.operations.fleet import RemoteFleet


class ApplyCommand(FleetCommand):
    """Apply all lines of a document, or none of them if one is refused."""

    name = "apply"
    description = "Apply a document of commands as one change."
    arguments: ClassVar[list[Argument]] = [argument("file", "The document.")]
    options: ClassVar[list[Option]] = [
        *SHARED_OPTIONS,
        option("dry-run", None, "Show the changes without making them."),
        option("if-version", None, "Refuse unless this version is stored.", flag=False),
        option("wait", None, "Wait until the change is in force on every live host."),
    ]

    def handle(self) -> int:
        """Apply the document and return the exit code."""
        return self.run_action(self._apply)

    async def _apply(self, fleet: RemoteFleet) -> Reply:
        changes = self._read_changes()
        if changes.is_error():
            return changes.error
        if self.option("dry-run"):
            return await _dry_run(fleet, changes.ok)
        version = self.option("if-version")
        if version is not None and not str(version).isdigit():
            return Problem(ExitCode.BAD_INPUT, f"--if-version {version!r} is not an integer")
        expected = int(version) if version is not None else None
        return await run(Statement(changes.ok, expected, bool(self.option("wait"))), fleet)

    def _read_changes(self) -> Result[tuple[Change, ...], Problem]:
        path = Path(str(self.argument("file")))
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            return Error(Problem(ExitCode.BAD_INPUT, f"{path}: {exc}"))
        parsed = parse_document(text)
        if parsed.is_error():
            location = f"{path}, line {parsed.error.line}"
            return Error(Problem(ExitCode.BAD_INPUT, f"{location}:\n{parsed.error.message}"))
        return Ok(parsed.ok)


async def _dry_run(fleet: RemoteFleet, changes: tuple[Change, ...]) -> Reply:
    outcome = await fleet.dry_run(changes)
    if outcome.is_error():
        return outcome.error
    return DryRunShown(outcome.ok.version, outcome.ok.lines)
