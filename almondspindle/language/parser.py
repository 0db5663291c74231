"""Parse a line of the language into a statement, or report the position and cause of the error.

The LALR parser of lark uses a contextual lexer, which recognizes a keyword only where the grammar
allows one. Objects may therefore have the names of keywords.
"""

import difflib
import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError
from lark.lexer import PatternRE, TerminalDef

from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.builder import StatementBuilder
from almondspindle.language.statements import Statement

GRAMMAR_PATH = Path(__file__).with_name("grammar.lark")
SUGGESTION_CUTOFF = 0.5
TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "FIELD": "a field",
    "INT": "a whole number",
    "FLOAT": "a number",
    "STRING": 'a "text"',
    "WORD": "a word",
    "$END": "the end of the line",
}
KEYWORD_PATTERN = re.compile(r"[a-z]+")
WORD_PATTERN = re.compile(r"[^\s,=\[\]]+|\S")


@dataclass(frozen=True, slots=True)
class ParseError:
    """A syntax error. `column` starts at 1.

    `expected` lists the terms that the grammar allows at that position, and `suggestion` is the
    expected keyword most similar to the word found there, if any is similar enough.
    """

    column: int
    message: str
    expected: tuple[str, ...] = ()
    suggestion: str | None = None

    def describe(self, line: str) -> str:
        """Return `line`, a caret below the column of the error, and the message."""
        text = f"{line}\n{' ' * (self.column - 1)}^\ncolumn {self.column}: {self.message}"
        if self.suggestion:
            text += f"; did you mean {self.suggestion!r}?"
        if self.expected:
            text += f"\nexpected {', '.join(self.expected)}"
        return text


def parse(line: str) -> Result[Statement, ParseError]:
    """Return the statement in `line`, or its first syntax error."""
    try:
        tree = _parser().parse(line)
        return Ok(StatementBuilder().transform(tree))
    except UnexpectedInput as exc:
        return Error(_build_error(exc, line))
    except VisitError as exc:
        return Error(ParseError(1, str(exc.orig_exc)))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR_PATH.read_text(), parser="lalr", lexer="contextual", start="start")


def _build_error(exc: UnexpectedInput, line: str) -> ParseError:
    expected = tuple(sorted(set(_describe_terminals(_expected_terminals(exc)))))
    column = _error_column(exc, line)
    actual = _word_at(line, column)
    if not actual:
        return ParseError(column, "unexpected end of line", expected)
    keywords = [word for word in expected if KEYWORD_PATTERN.fullmatch(word)]
    matches = difflib.get_close_matches(actual, keywords, 1, SUGGESTION_CUTOFF)
    return ParseError(column, f"unexpected {actual!r}", expected, matches[0] if matches else None)


def _expected_terminals(exc: UnexpectedInput) -> Iterable[str]:
    if isinstance(exc, UnexpectedToken):
        return exc.accepts or exc.expected
    return exc.allowed if isinstance(exc, UnexpectedCharacters) else ()


def _error_column(exc: UnexpectedInput, line: str) -> int:
    if isinstance(exc, UnexpectedToken) and exc.token.type == "$END":
        return len(line) + 1
    return exc.column


def _word_at(line: str, column: int) -> str:
    match = WORD_PATTERN.match(line, column - 1)
    return match.group() if match else ""


def _describe_terminals(names: Iterable[str]) -> Iterable[str]:
    terminals = {terminal.name: terminal for terminal in _parser().terminals}
    for name in names:
        if name in TERMINAL_DESCRIPTIONS:
            yield TERMINAL_DESCRIPTIONS[name]
        elif name in terminals:
            yield from _terminal_words(terminals[name])


def _terminal_words(terminal: TerminalDef) -> list[str]:
    """Return the keywords or symbols that a terminal matches."""
    if not isinstance(terminal.pattern, PatternRE):
        return [terminal.pattern.value]
    words = KEYWORD_PATTERN.findall(terminal.pattern.value.split("(?!")[0].replace("\\b", ""))
    return words or [terminal.pattern.value]
