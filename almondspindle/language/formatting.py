"""Format replies as text or JSON, and map them to exit codes."""

import dataclasses
import json
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from functools import singledispatch

from almondspindle.core.checks import Severity
from almondspindle.core.outcomes import InvariantError
from almondspindle.language.replies import (
    ChangeAccepted,
    ChangeShown,
    ChatExplained,
    CheckShown,
    DryRunShown,
    ExitCode,
    Exported,
    HistoryShown,
    KeyExplained,
    LaggingHost,
    Listing,
    Problem,
    Reply,
    StatusShown,
)
from almondspindle.language.statements import Value


@singledispatch
def as_text(reply: object) -> str:
    """Return `reply` as lines for a terminal."""
    raise InvariantError(f"unexpected reply {type(reply).__name__}")


@as_text.register
def _(reply: ChangeAccepted) -> str:
    outcome = "accepted" if reply.changed else "nothing to change"
    lines = [f"{outcome}: configuration version {reply.version}"]
    if reply.waited and not reply.lagging:
        lines.append("in force on every live host")
    lines += [_format_lagging_host(item) for item in reply.lagging]
    return "\n".join(lines)


@as_text.register
def _(reply: Listing) -> str:
    lines = list(_format_table(reply.table.fields, reply.table.rows))
    return "\n".join([*lines, *(f"note: {note}" for note in reply.notes)])


@as_text.register
def _(reply: ChatExplained) -> str:
    chosen = reply.chosen
    outcome = f"goes to {chosen.target}" if chosen else "is refused by every candidate"
    lines = [f"chat {reply.chat_id!r} on {reply.service} {outcome}"]
    lines.append(f"by configuration version {reply.config_version}; order of candidates:")
    for number, item in enumerate(reply.candidates, start=1):
        admission = f"refused: {item.why}" if item.why else "admitted"
        lines.append(f"  {number}. {item.target} in {item.zone}, owner {item.owner}: {admission}")
    return "\n".join(lines)


@as_text.register
def _(reply: KeyExplained) -> str:
    lines = [f"key {reply.key}: {reply.state}; run state: {reply.run_state}"]
    return "\n".join([*lines, *(f"  {line}" for line in reply.lines)])


@as_text.register
def _(reply: DryRunShown) -> str:
    head = f"against configuration version {reply.version}; nothing was changed"
    return "\n".join([head, *(reply.lines or ("no difference",))])


@as_text.register
def _(reply: Exported) -> str:
    return reply.document.rstrip("\n")


@as_text.register
def _(reply: HistoryShown) -> str:
    return "\n".join(line for change in reply.changes for line in _format_change(change))


@as_text.register
def _(reply: StatusShown) -> str:
    head = f"configuration version {reply.version}"
    return "\n\n".join([head, as_text(reply.hosts), as_text(reply.zones)])


@as_text.register
def _(reply: CheckShown) -> str:
    if not reply.findings:
        return "no findings"
    return "\n".join(
        f"{item.number} {item.severity}: {item.message}\n  {item.hint}" for item in reply.findings
    )


@as_text.register
def _(reply: Problem) -> str:
    return f"{reply.message}\n{reply.hint}" if reply.hint else reply.message


def as_json(reply: Reply) -> str:
    """Return `reply` as one JSON object; "reply" holds the name of its class."""
    return json.dumps({"reply": type(reply).__name__, **dataclasses.asdict(reply)})


@singledispatch
def exit_code(reply: object) -> ExitCode:
    """Return the exit code for `reply`."""
    return ExitCode.DONE


@exit_code.register
def _(reply: Problem) -> ExitCode:
    return reply.exit_code


@exit_code.register
def _(reply: CheckShown) -> ExitCode:
    has_errors = any(item.severity is Severity.ERROR for item in reply.findings)
    return ExitCode.FAILED if has_errors else ExitCode.DONE


@exit_code.register
def _(reply: ChangeAccepted) -> ExitCode:
    return ExitCode.LAGGING if reply.lagging else ExitCode.DONE


def _format_change(change: ChangeShown) -> Iterator[str]:
    time = datetime.fromtimestamp(change.at, UTC).isoformat(timespec="seconds")
    yield f"version {change.version} at {time} by {change.operator}, nonce {change.nonce}"
    yield from (f"  {line}" for line in change.lines)


def _format_lagging_host(item: LaggingHost) -> str:
    return f"not yet in force on {item.host}: {item.reason}"


def _format_table(fields: Sequence[str], rows: Sequence[Sequence[Value]]) -> Iterator[str]:
    cells = [[_format_cell(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(fields, *cells, strict=True)]
    for line in (fields, *cells):
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield "  ".join(padded).rstrip()


def _format_cell(value: Value) -> str:
    if isinstance(value, tuple):
        return ",".join(value) or "-"
    return str(value) if value != "" else "-"
