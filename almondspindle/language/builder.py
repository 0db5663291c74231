"""Build statements from the parse tree. Methods are called like the grammar's rules."""

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
    Order,
    Query,
    Source,
    Statement,
)

Items = list[Any]


@dataclass(frozen=True, slots=True)
class _IfVersion:
    version: int


@dataclass(frozen=True, slots=True)
class _Wait:
    pass


@dataclass(frozen=True, slots=True)
class _Fields:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Where:
    conditions: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class _OrderBy:
    keys: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class _Limit:
    count: int


class StatementBuilder(Transformer):
    """Turn a parse tree into one statement, from the leaves up."""

    def start(self, items: Items) -> Statement:
        """Return the statement."""
        return items[0]

    def command(self, items: Items) -> Command:
        """Return the command with all its parts."""
        command = Command(())
        for item in items:
            command = self.extend(item, command)
        return command

    def query(self, items: Items) -> Query:
        """Return the query with all its parts."""
        query = Query(Source(items[0]))
        for item in items[1:]:
            query = self.extend(item, query)
        return query

    @singledispatchmethod
    def extend(self, part: Any, whole: Any) -> Any:
        """Return `whole` with `part` added; a part that is no clause is a change."""
        if not isinstance(whole, Command):
            raise InvariantError(f"unexpected part {type(part).__name__}")
        return replace(whole, changes=(*whole.changes, part))

    @extend.register
    def _(self, part: _IfVersion, whole: Any) -> Any:
        return replace(whole, if_version=part.version)

    @extend.register
    def _(self, part: _Wait, whole: Any) -> Any:
        return replace(whole, wait=True)

    @extend.register
    def _(self, part: _Fields, whole: Any) -> Any:
        return replace(whole, fields=part.names)

    @extend.register
    def _(self, part: _Where, whole: Any) -> Any:
        return replace(whole, conditions=part.conditions)

    @extend.register
    def _(self, part: _OrderBy, whole: Any) -> Any:
        return replace(whole, order=part.keys)

    @extend.register
    def _(self, part: _Limit, whole: Any) -> Any:
        return replace(whole, limit=part.count)

    def if_version(self, items: Items) -> _IfVersion:
        """Return the clause `if version N`."""
        return _IfVersion(int(items[0]))

    def wait(self, items: Items) -> _Wait:
        """Return the clause `wait`."""
        return _Wait()

    def create(self, items: Items) -> CreateObject:
        """Return a creation."""
        return CreateObject(ObjectKind(items[0]), str(items[1]), items[2] if len(items) > 2 else {})

    def set_fields(self, items: Items) -> SetFields:
        """Return a change of fields."""
        return SetFields(ObjectKind(items[0]), str(items[1]), items[2])

    def delete(self, items: Items) -> DeleteObject:
        """Return a deletion."""
        return DeleteObject(ObjectKind(items[0]), str(items[1]))

    def take_out(self, items: Items) -> TakeOut:
        """Return a change of intent to out."""
        return TakeOut(ObjectKind(items[0]), str(items[1]))

    def bring_back(self, items: Items) -> BringBack:
        """Return a change of intent to in."""
        return BringBack(ObjectKind(items[0]), str(items[1]))

    def assignments(self, items: Items) -> dict[str, object]:
        """Return fields and their values."""
        return dict(items)

    def assignment(self, items: Items) -> tuple[str, object]:
        """Return a field and its value."""
        return str(items[0]), items[1]

    def fields(self, items: Items) -> _Fields:
        """Return the clause that chooses fields."""
        return _Fields(tuple(str(item) for item in items))

    def where(self, items: Items) -> _Where:
        """Return the clause that filters."""
        return _Where(tuple(items))

    def condition(self, items: Items) -> Condition:
        """Return one filter."""
        return Condition(str(items[0]), items[1], items[2])

    def comparison(self, items: Items) -> Comparison:
        """Return how a filter compares."""
        return Comparison(items[0])

    def order(self, items: Items) -> _OrderBy:
        """Return the clause that orders."""
        return _OrderBy(tuple(items))

    def order_key(self, items: Items) -> Order:
        """Return one key to order by."""
        return Order(str(items[0]), len(items) > 1 and items[1] == "desc")

    def limit(self, items: Items) -> _Limit:
        """Return the clause that limits the number of rows."""
        return _Limit(int(items[0]))

    def explain_chat(self, items: Items) -> ExplainChat:
        """Return the question about a chat."""
        return ExplainChat(str(items[0]), str(items[1]))

    def explain_key(self, items: Items) -> ExplainKey:
        """Return the question about an idempotency key."""
        return ExplainKey(*(str(item) for item in items))

    def list(self, items: Items) -> tuple[str, ...]:
        """Return a list of values."""
        return tuple(str(item) for item in items if item is not None)

    def number(self, items: Items) -> float:
        """Return a number with a fraction."""
        return float(items[0])

    def whole(self, items: Items) -> int:
        """Return a whole number."""
        return int(items[0])

    def text(self, items: Items) -> str:
        """Return a quoted text; escapes are those of JSON."""
        return json.loads(items[0])

    def truth(self, items: Items) -> bool:
        """Return true or false."""
        return items[0] == "true"

    def name(self, items: Items) -> str:
        """Return an unquoted word."""
        return str(items[0])
