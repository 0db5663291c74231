"""Parse a line of the language into a statement.

The parser is lark's LALR parser with a contextual lexer: a word is a keyword only where one can
stand, so objects may be called like keywords.
"""

import difflib
import json
from dataclasses import dataclass
from functools import cache, singledispatch
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import UnexpectedEOF

from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language import statements as st

GRAMMAR = Path(__file__).with_name("grammar.lark")
NEAREST_CUTOFF = 0.5
KEYWORDS = {
    "KIND": ("team", "service", "zone", "target"),
    "INTENT_KIND": ("zone", "target"),
    "SOURCE": ("teams", "services", "zones", "hosts", "targets"),
    "DIRECTION": ("asc", "desc"),
    "COMPARISON": ("=", "!=", "<", "<=", ">", ">=", "like"),
}
DESCRIBED = {
    "NAME": "a name",
    "FIELD": "a field",
    "INT": "a whole number",
    "FLOAT": "a number",
    "STRING": 'a "text"',
    "BOOL": "true or false",
    "LSQB": "[",
    "EQUAL": "=",
    "WORD": "a word",
    "$END": "the end of the line",
}


@dataclass(frozen=True, slots=True)
class SyntaxProblem:
    """A line that the language does not allow. `column` counts from 1."""

    column: int
    found: str
    expected: tuple[str, ...]
    nearest: str | None

    def describe(self, line: str) -> str:
        """Return the problem with the line and a mark under the column."""
        text = f"{line}\n{' ' * (self.column - 1)}^\ncolumn {self.column}: {self.found}"
        if self.nearest:
            text += f"; did you mean {self.nearest!r}?"
        return f"{text}\nexpected {' or '.join(self.expected)}"


class _Builder(Transformer):
    """Build statements from the parse tree. Methods are called like the grammar's rules."""

    def start(self, items: list) -> st.Statement:
        return items[0]

    def command(self, items: list) -> st.Command:
        change, *rest = items
        version = next((item for item in rest if isinstance(item, int)), None)
        return st.Command((change,), version, "wait" in rest)

    def if_version(self, items: list) -> int:
        return int(items[0])

    def wait(self, items: list) -> str:
        return "wait"

    def create(self, items: list) -> st.Create:
        return st.Create(st.Kind(items[0]), str(items[1]), items[2] if len(items) > 2 else ())

    def set_(self, items: list) -> st.Set:
        return st.Set(st.Kind(items[0]), str(items[1]), items[2])

    def delete(self, items: list) -> st.Delete:
        return st.Delete(st.Kind(items[0]), str(items[1]))

    def take_out(self, items: list) -> st.TakeOut:
        return st.TakeOut(st.Kind(items[0]), str(items[1]))

    def bring_back(self, items: list) -> st.BringBack:
        return st.BringBack(st.Kind(items[0]), str(items[1]))

    def assignments(self, items: list) -> st.Fields:
        return tuple(items)

    def assignment(self, items: list) -> tuple[str, st.Value]:
        return str(items[0]), items[1]

    def query(self, items: list) -> st.Query:
        query = st.Query(st.Source(items[0]))
        for part in items[1:]:
            query = _extend(part, query)
        return query

    def fields(self, items: list) -> "_FieldList":
        return _FieldList(tuple(str(item) for item in items))

    def where(self, items: list) -> "_Where":
        return _Where(tuple(items))

    def condition(self, items: list) -> st.Condition:
        return st.Condition(str(items[0]), st.Comparison(items[1]), items[2])

    def order(self, items: list) -> "_OrderBy":
        return _OrderBy(tuple(items))

    def order_key(self, items: list) -> st.Order:
        return st.Order(str(items[0]), len(items) > 1 and items[1] == "desc")

    def limit(self, items: list) -> "_Limit":
        return _Limit(int(items[0]))

    def explain_chat(self, items: list) -> st.ExplainChat:
        return st.ExplainChat(items[0], str(items[1]))

    def explain_key(self, items: list) -> st.ExplainKey:
        names = [str(item) for item in items[1:]]
        return st.ExplainKey(items[0], *names)

    def list(self, items: list) -> tuple[str, ...]:
        return tuple(str(item) for item in items if item is not None)

    def number(self, items: list) -> float:
        return float(items[0])

    def whole(self, items: list) -> int:
        return int(items[0])

    def text(self, items: list) -> str:
        return json.loads(items[0])

    def truth(self, items: list) -> bool:
        return items[0] == "true"

    def name(self, items: list) -> str:
        return str(items[0])

    def word(self, items: list) -> str:
        token = items[0]
        return json.loads(token) if token.type == "STRING" else str(token)


@dataclass(frozen=True, slots=True)
class _FieldList:
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Where:
    conditions: tuple[st.Condition, ...]


@dataclass(frozen=True, slots=True)
class _OrderBy:
    order: tuple[st.Order, ...]


@dataclass(frozen=True, slots=True)
class _Limit:
    limit: int
