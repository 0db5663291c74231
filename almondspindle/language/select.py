"""Filter, order and cut rows as a query says."""

import difflib
import operator
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.rows import USUAL_FIELDS, Row, field_names
from almondspindle.language.statements import Comparison, Condition, Order, Query, Value

NEAREST_CUTOFF = 0.5

TESTS: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: operator.eq,
    Comparison.UNEQUAL: operator.ne,
    Comparison.BELOW: operator.lt,
    Comparison.AT_MOST: operator.le,
    Comparison.ABOVE: operator.gt,
    Comparison.AT_LEAST: operator.ge,
    Comparison.LIKE: lambda found, pattern: fnmatchcase(str(found), str(pattern)),
}


@dataclass(frozen=True, slots=True)
class Table:
    """The answer to a query."""

    fields: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...]


def select(query: Query, rows: Iterable[Row]) -> Result[Table, str]:
    """Return the chosen fields of the rows that pass all filters, or what is wrong."""
    problem = check_query(query)
    if problem is not None:
        return Error(problem)
    kept = [row for row in rows if all(_passes(row, item) for item in query.conditions)]
    ordered = _ordered(kept, query.order)[: query.limit]
    chosen = query.fields or USUAL_FIELDS[query.source]
    return Ok(Table(chosen, tuple(tuple(getattr(row, f) for f in chosen) for row in ordered)))


def check_query(query: Query) -> str | None:
    """Return what is wrong with the fields that `query` names, or None."""
    known = field_names(query.source)
    named = [*query.fields, *(c.field for c in query.conditions), *(o.field for o in query.order)]
    for name in named:
        if name not in known:
            return _unknown(name, query, known)
    return None


def _unknown(name: str, query: Query, known: Sequence[str]) -> str:
    near = difflib.get_close_matches(name, known, 1, NEAREST_CUTOFF)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"{query.source} have no field {name!r}{hint}\nfields: {', '.join(known)}"


def _passes(row: Row, condition: Condition) -> bool:
    found = getattr(row, condition.field)
    test = TESTS[condition.comparison]
    if isinstance(found, tuple) and not isinstance(condition.value, tuple):
        return any(test(item, condition.value) for item in found)
    try:
        return test(found, condition.value)
    except TypeError:
        # A text is neither below nor above a number.
        return False


def _ordered(rows: list[Row], keys: Sequence[Order]) -> list[Row]:
    # Sorting is stable, so the last key is sorted by first.
    for key in reversed(keys):
        rows = sorted(rows, key=operator.attrgetter(key.field), reverse=key.descending)
    return rows
