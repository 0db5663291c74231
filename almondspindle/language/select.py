"""Filter, sort and limit the rows of a query."""

import difflib
import operator
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.rows import DEFAULT_FIELDS, Row, field_names
from almondspindle.language.statements import Comparison, Condition, Query, SortKey, Value

SUGGESTION_CUTOFF = 0.5

COMPARATORS: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: operator.eq,
    Comparison.NOT_EQUAL: operator.ne,
    Comparison.LESS: operator.lt,
    Comparison.LESS_OR_EQUAL: operator.le,
    Comparison.GREATER: operator.gt,
    Comparison.GREATER_OR_EQUAL: operator.ge,
    Comparison.LIKE: lambda value, pattern: fnmatchcase(str(value), str(pattern)),
}


@dataclass(frozen=True, slots=True)
class Table:
    """The selected fields of the rows that match a query."""

    fields: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...]


def select(query: Query, rows: Iterable[Row]) -> Result[Table, str]:
    """Return the selected fields of the rows that match all conditions, or an error message."""
    problem = check_query(query)
    if problem is not None:
        return Error(problem)
    matching = [row for row in rows if all(_matches(row, item) for item in query.conditions)]
    listed = _sort(matching, query.order)[: query.limit]
    fields = query.fields or DEFAULT_FIELDS[query.source]
    return Ok(Table(fields, tuple(tuple(getattr(row, f) for f in fields) for row in listed)))


def check_query(query: Query) -> str | None:
    """Return an error message for the first unknown field in `query`, or None."""
    known = field_names(query.source)
    used = [*query.fields, *(c.field for c in query.conditions), *(o.field for o in query.order)]
    for name in used:
        if name not in known:
            return _unknown_field_error(name, query, known)
    return None


def _unknown_field_error(name: str, query: Query, known: Sequence[str]) -> str:
    matches = difflib.get_close_matches(name, known, 1, SUGGESTION_CUTOFF)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    return f"{query.source} have no field {name!r}{hint}\nfields: {', '.join(known)}"


def _matches(row: Row, condition: Condition) -> bool:
    value = getattr(row, condition.field)
    compare = COMPARATORS[condition.comparison]
    if isinstance(value, tuple) and not isinstance(condition.value, tuple):
        return any(compare(item, condition.value) for item in value)
    try:
        return compare(value, condition.value)
    except TypeError:
        # Strings and numbers have no order, so such a condition never holds.
        return False


def _sort(rows: list[Row], keys: Sequence[SortKey]) -> list[Row]:
    # Sorting is stable, so sorting by the least significant key first gives the full order.
    for key in reversed(keys):
        rows = sorted(rows, key=operator.attrgetter(key.field), reverse=key.descending)
    return rows
