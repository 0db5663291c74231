"""Execute statements on a fleet."""

from functools import singledispatch
from typing import Protocol

from almondspindle.core.changes import Change
from almondspindle.core.outcomes import InvariantError, Result
from almondspindle.language.parser import parse
from almondspindle.language.replies import (
    ChangeAccepted,
    ChatExplained,
    ExitCode,
    KeyExplained,
    LaggingHost,
    Listing,
    Problem,
    Reply,
)
from almondspindle.language.rows import Row
from almondspindle.language.select import check_query, select
from almondspindle.language.statements import Command, ExplainChat, ExplainKey, Query, Source


class Fleet(Protocol):
    """The operations on a fleet that statements use."""

    async def submit(
        self, changes: tuple[Change, ...], if_version: int | None
    ) -> Result[ChangeAccepted, Problem]:
        """Write `changes` as one update; return the version that contains them, or an error.

        With `if_version`, refuse them unless that version is stored.
        """
        ...

    async def wait_until_in_force(self, version: int) -> tuple[LaggingHost, ...]:
        """Wait until `version` is in force on every live host; return the hosts that lag."""
        ...

    async def list_rows(self, source: Source) -> Result[tuple[list[Row], tuple[str, ...]], Problem]:
        """Return the rows of `source`, and a note for each host that did not respond."""
        ...

    async def explain_chat(self, chat_id: str, service: str) -> Result[ChatExplained, Problem]:
        """Return the candidate targets of a chat in order, and which of them would admit it."""
        ...

    async def explain_key(self, key: str, service: str, team: str) -> Result[KeyExplained, Problem]:
        """Return the state of an idempotency key by its claim record."""
        ...


async def run_line(line: str, fleet: Fleet) -> Reply:
    """Parse `line`, execute it, and return the reply."""
    parsed = parse(line)
    if parsed.is_error():
        return Problem(ExitCode.BAD_INPUT, parsed.error.describe(line))
    return await run(parsed.ok, fleet)


@singledispatch
async def run(statement: object, fleet: Fleet) -> Reply:
    """Execute `statement` on `fleet` and return the reply."""
    raise InvariantError(f"unexpected statement {type(statement).__name__}")


@run.register
async def _(statement: Command, fleet: Fleet) -> Reply:
    accepted = await fleet.submit(statement.changes, statement.if_version)
    if accepted.is_error():
        return accepted.error
    if not statement.wait:
        return accepted.ok
    lagging = await fleet.wait_until_in_force(accepted.ok.version)
    return ChangeAccepted(accepted.ok.version, accepted.ok.changed, True, lagging)


@run.register
async def _(statement: Query, fleet: Fleet) -> Reply:
    problem = check_query(statement)
    if problem is not None:
        return Problem(ExitCode.BAD_INPUT, problem)
    listed = await fleet.list_rows(statement.source)
    if listed.is_error():
        return listed.error
    rows, notes = listed.ok
    table = select(statement, rows)
    if table.is_error():
        return Problem(ExitCode.BAD_INPUT, table.error)
    return Listing(table.ok, notes)


@run.register
async def _(statement: ExplainChat, fleet: Fleet) -> Reply:
    explained = await fleet.explain_chat(statement.chat_id, statement.service)
    return explained.ok if explained.is_ok() else explained.error


@run.register
async def _(statement: ExplainKey, fleet: Fleet) -> Reply:
    explained = await fleet.explain_key(statement.key, statement.service, statement.team)
    return explained.ok if explained.is_ok() else explained.error
