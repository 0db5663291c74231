"""Build statements from the parse tree. Each method is named after the grammar rule it handles."""

import json
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import Any

from lark import Transformer

from almondspindle.core.changes import (
    BringBack,
    CreateObject,
    DeleteObject,
    ObjectKind,
    SetFields,
    TakeOut,
)
from almondspindle.core.outcomes import InvariantError
from almondspindle.language.statements import (
    Command,
    Comparison,
    Condition,
    ExplainChat,
    ExplainKey,
    Query,
    SortKey,
    Source,
    Statement,
)

Items = list[Any]


@dataclass(frozen=True, slots=True)
class _IfVersionClause:
    version: int


@dataclass(frozen=True, slots=True)
class _WaitClause:
    pass


@dataclass(frozen=True, slots=True)
class _FieldsClause:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _WhereClause:
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class _OrderClause:
    keys: tuple[SortKey, ...]


@dataclass(frozen=True, slots=True)
class _LimitClause:
    count: int


class StatementBuilder(Transformer):
    """Transform a parse tree into one statement, bottom-up."""

    def start(self, items: Items) -> Statement:
        """Return the statement of the line."""
        return items[0]

    def command(self, items: Items) -> Command:
        """Return the command with its changes and clauses."""
        command = Command(())
        for item in items:
            command = self.extend(item, command)
        return command

    def query(self, items: Items) -> Query:
        """Return the query with its clauses."""
        query = Query(Source(items[0]))
        for item in items[1:]:
            query = self.extend(item, query)
        return query

    @singledispatchmethod
    def extend(self, clause: Any, statement: Any) -> Any:
        """Return `statement` with `clause` added. The default adds a change to a command."""
        if not isinstance(statement, Command):
            raise InvariantError(f"unexpected clause of a query: {type(clause).__name__}")
        return replace(statement, changes=(*statement.changes, clause))

    @extend.register
    def _(self, clause: _IfVersionClause, statement: Any) -> Any:
        return replace(statement, if_version=clause.version)

    @extend.register
    def _(self, clause: _WaitClause, statement: Any) -> Any:
        return replace(statement, wait=True)

    @extend.register
    def _(self, clause: _FieldsClause, statement: Any) -> Any:
        return replace(statement, fields=clause.names)

    @extend.register
    def _(self, clause: _WhereClause, statement: Any) -> Any:
        return replace(statement, conditions=clause.conditions)

    @extend.register
    def _(self, clause: _OrderClause, statement: Any) -> Any:
        return replace(statement, order=clause.keys)

    @extend.register
    def _(self, clause: _LimitClause, statement: Any) -> Any:
        return replace(statement, limit=clause.count)

    def if_version(self, items: Items) -> _IfVersionClause:
        """Return the clause `if version N`."""
        return _IfVersionClause(int(items[0]))

    def wait(self, items: Items) -> _WaitClause:
        """Return the clause `wait`."""
        return _WaitClause()

    def create(self, items: Items) -> CreateObject:
        """Return the change that creates an object."""
        return CreateObject(ObjectKind(items[0]), str(items[1]), items[2] if len(items) > 2 else {})

    def set_fields(self, items: Items) -> SetFields:
        """Return the change that sets fields of an object."""
        return SetFields(ObjectKind(items[0]), str(items[1]), items[2])

    def delete(self, items: Items) -> DeleteObject:
        """Return the change that deletes an object."""
        return DeleteObject(ObjectKind(items[0]), str(items[1]))

    def take_out(self, items: Items) -> TakeOut:
        """Return the change that sets the intent of a zone or target to out."""
        return TakeOut(ObjectKind(items[0]), str(items[1]))

    def bring_back(self, items: Items) -> BringBack:
        """Return the change that sets the intent of a zone or target to in."""
        return BringBack(ObjectKind(items[0]), str(items[1]))

    def assignments(self, items: Items) -> dict[str, object]:
        """Return the assigned values by field name."""
        return dict(items)

    def assignment(self, items: Items) -> tuple[str, object]:
        """Return a field name and the value assigned to it."""
        return str(items[0]), items[1]

    def fields(self, items: Items) -> _FieldsClause:
        """Return the clause `fields`."""
        return _FieldsClause(tuple(str(item) for item in items))

    def where(self, items: Items) -> _WhereClause:
        """Return the clause `where`."""
        return _WhereClause(tuple(items))

    def condition(self, items: Items) -> Condition:
        """Return one condition of a `where` clause."""
        return Condition(str(items[0]), items[1], items[2])

    def comparison(self, items: Items) -> Comparison:
        """Return the comparison operator of a condition."""
        return Comparison(items[0])

    def order(self, items: Items) -> _OrderClause:
        """Return the clause `order by`."""
        return _OrderClause(tuple(items))

    def order_key(self, items: Items) -> SortKey:
        """Return one sort key of an `order by` clause."""
        return SortKey(str(items[0]), len(items) > 1 and items[1] == "desc")

    def limit(self, items: Items) -> _LimitClause:
        """Return the clause `limit`."""
        return _LimitClause(int(items[0]))

    def explain_chat(self, items: Items) -> ExplainChat:
        """Return the statement `explain chat`."""
        return ExplainChat(str(items[0]), str(items[1]))

    def explain_key(self, items: Items) -> ExplainKey:
        """Return the statement `explain key`."""
        return ExplainKey(*(str(item) for item in items))

    def list(self, items: Items) -> tuple[str, ...]:
        """Return a list of values, as strings."""
        return tuple(str(item) for item in items if item is not None)

    def number(self, items: Items) -> float:
        """Return a floating-point number."""
        return float(items[0])

    def whole(self, items: Items) -> int:
        """Return an integer."""
        return int(items[0])

    def text(self, items: Items) -> str:
        """Return a quoted string without its quotes. Escape sequences are those of JSON."""
        return json.loads(items[0])

    def truth(self, items: Items) -> bool:
        """Return a Boolean."""
        return items[0] == "true"

    def name(self, items: Items) -> str:
        """Return an unquoted word."""
        return str(items[0])
