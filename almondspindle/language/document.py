"""Documents: files of commands that are applied together, and the export of a configuration."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, fields, is_dataclass
from functools import singledispatch
from typing import Any

from almondspindle.core.changes import Change, CreateObject, ObjectKind, PutObject
from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.parser import SyntaxProblem, parse
from almondspindle.language.statements import Command

COMMENT = "#"
BARE = frozenset("abcdefghijklmnopqrstuvwxyz0123456789._-")


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """A line of a document that is wrong. `line` counts from 1."""

    line: int
    text: str


def parse_document(text: str) -> Result[tuple[Change, ...], DocumentProblem]:
    """Return the changes of all lines in order, or the first problem.

    A `create` in a document puts the object into the state that the line describes, whether it
    exists or not, so a document can be applied again.
    """
    changes: list[Change] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith(COMMENT):
            continue
        parsed = parse(line)
        if parsed.is_error():
            return Error(DocumentProblem(number, _described(parsed.error, line)))
        if not isinstance(parsed.ok, Command):
            return Error(DocumentProblem(number, "a document holds commands only"))
        if parsed.ok.wait or parsed.ok.if_version is not None:
            text = "`wait` and `if version` go with the whole document, as options"
            return Error(DocumentProblem(number, text))
        changes += [as_put(change) for change in parsed.ok.changes]
    return Ok(tuple(changes))


def _described(problem: SyntaxProblem, line: str) -> str:
    return problem.describe(line)


@singledispatch
def as_put(change: Any) -> Change:
    """Return `change` as a document means it."""
    return change


@as_put.register
def _(change: CreateObject) -> Change:
    return PutObject(change.kind, change.name, change.fields)


def export_document(config: ConfigSet) -> str:
    """Return `config` as a document that makes the same configuration."""
    return "".join(f"{line}\n" for line in _export_lines(config))


def _export_lines(config: ConfigSet) -> Iterator[str]:
    yield f"# configuration version {config.version}"
    collections: tuple[tuple[ObjectKind, Mapping[Any, Any]], ...] = (
        (ObjectKind.ZONE, config.zones),
        (ObjectKind.SERVICE, config.services),
        (ObjectKind.TEAM, config.teams),
        (ObjectKind.TARGET, config.targets),
        (ObjectKind.OPERATOR, config.operators),
    )
    for kind, objects in collections:
        for name in sorted(objects):
            settings = " ".join(_assignments(objects[name], ""))
            yield f"create {kind} {name} with {settings}" if settings else f"create {kind} {name}"


def _assignments(item: Any, prefix: str) -> Iterator[str]:
    for info in fields(item):
        value = getattr(item, info.name)
        if info.name == "name":
            continue
        if is_dataclass(value):
            yield from _assignments(value, f"{prefix}{info.name}.")
        elif info.default is MISSING or value != info.default:
            yield f"{prefix}{info.name}={_literal(value)}"


def _literal(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return f"[{', '.join(_literal(item) for item in value)}]"
    if isinstance(value, str):
        text = str(value)
        return text if text and set(text) <= BARE and text[0].isalpha() else json.dumps(text)
    return str(value)
