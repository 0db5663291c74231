"""Parse documents, which are files of commands applied as one change, and export them."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, fields, is_dataclass
from functools import singledispatch
from typing import Any

from almondspindle.core.changes import Change, CreateObject, ObjectKind, PutObject
from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.parser import ParseError, parse
from almondspindle.language.statements import Command

COMMENT_PREFIX = "#"
NAME_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789._-")  # other texts need quotes


@dataclass(frozen=True, slots=True)
class DocumentError:
    """An error in a document. `line` is the line number, starting at 1."""

    line: int
    message: str


def parse_document(text: str) -> Result[tuple[Change, ...], DocumentError]:
    """Return the changes of all lines in order, or the first error.

    A `create` in a document creates the object or replaces an existing one, so a document can be
    applied repeatedly.
    """
    changes: list[Change] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith(COMMENT_PREFIX):
            continue
        parsed = parse(line)
        if parsed.is_error():
            return Error(DocumentError(number, _describe(parsed.error, line)))
        if not isinstance(parsed.ok, Command):
            return Error(DocumentError(number, "a document may contain only commands"))
        if parsed.ok.wait or parsed.ok.if_version is not None:
            message = "`wait` and `if version` apply to the document: use --wait and --if-version"
            return Error(DocumentError(number, message))
        changes += [as_put(change) for change in parsed.ok.changes]
    return Ok(tuple(changes))


def _describe(error: ParseError, line: str) -> str:
    return error.describe(line)


@singledispatch
def as_put(change: Any) -> Change:
    """Return `change` with a creation replaced by a `PutObject`."""
    return change


@as_put.register
def _(change: CreateObject) -> Change:
    return PutObject(change.kind, change.name, change.fields)


def export_document(config: ConfigSet) -> str:
    """Return a document that reproduces `config` when it is applied."""
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
            assigned = " ".join(_assignments(objects[name], ""))
            yield f"create {kind} {name} with {assigned}" if assigned else f"create {kind} {name}"


def _assignments(item: Any, prefix: str) -> Iterator[str]:
    for field in fields(item):
        value = getattr(item, field.name)
        if field.name == "name":
            continue
        if is_dataclass(value):
            yield from _assignments(value, f"{prefix}{field.name}.")
        elif field.default is MISSING or value != field.default:
            yield f"{prefix}{field.name}={_literal(value)}"


def _literal(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return f"[{', '.join(_literal(item) for item in value)}]"
    if isinstance(value, str):
        text = str(value)
        return text if text and set(text) <= NAME_CHARS and text[0].isalpha() else json.dumps(text)
    return str(value)
