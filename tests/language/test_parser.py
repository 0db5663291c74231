"""Tests of the parser with valid and invalid lines."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.changes import (
    BringBack,
    CreateObject,
    DeleteObject,
    ObjectKind,
    SetFields,
    TakeOut,
)
from almondspindle.language.parser import parse
from almondspindle.language.statements import (
    Command,
    Comparison,
    Condition,
    ExplainChat,
    ExplainKey,
    Query,
    SortKey,
    Source,
)

TAKE_ZONE_OUT = TakeOut(ObjectKind.ZONE, "walvis-a")
VALID_LINES = [
    ("take zone walvis-a out", Command((TAKE_ZONE_OUT,))),
    ("take zone walvis-a out if version 7 wait", Command((TAKE_ZONE_OUT,), 7, True)),
    ("bring target t-1 back", Command((BringBack(ObjectKind.TARGET, "t-1"),))),
    ("delete team wait wait", Command((DeleteObject(ObjectKind.TEAM, "wait"),), wait=True)),
    (
        "set team if weight=1 if version 3",
        Command((SetFields(ObjectKind.TEAM, "if", {"weight": 1}),), 3),
    ),
    (
        "set service s policy.load_multiple=1.5 checks_fencing=true",
        Command(
            (
                SetFields(
                    ObjectKind.SERVICE, "s", {"policy.load_multiple": 1.5, "checks_fencing": True}
                ),
            )
        ),
    ),
    (
        'create team a with token_sha256="0f" services=[x, y-1]',
        Command(
            (CreateObject(ObjectKind.TEAM, "a", {"token_sha256": "0f", "services": ("x", "y-1")}),)
        ),
    ),
    (
        "take zone walvis-a out, take zone walvis-a out",
        Command((TAKE_ZONE_OUT, TAKE_ZONE_OUT)),
    ),
    (
        'show targets fields name, why where zone = b and name like "t*"'
        " order by name desc limit 3",
        Query(
            Source.TARGETS,
            ("name", "why"),
            (
                Condition("zone", Comparison.EQUAL, "b"),
                Condition("name", Comparison.LIKE, "t*"),
            ),
            (SortKey("name", True),),
            3,
        ),
    ),
    ('explain chat "a b" on s', ExplainChat("a b", "s")),
    ("explain key 0190c5f2-7c1e on s for team-1", ExplainKey("0190c5f2-7c1e", "s", "team-1")),
]

INVALID_LINES = [
    ("tak zone x out", 1, "take"),
    ("show target", 6, "targets"),
    ("take zone x", 12, None),
    ("take team x out", 6, None),
    ("show zones order by name dsc", 26, "desc"),
    ("set team a weight", 18, None),
    ('set zone z region="x', 19, None),
    ("", 1, None),
]


@pytest.mark.parametrize(("line", "expected"), VALID_LINES)
def test_valid_line_is_parsed(line, expected):
    assert parse(line).ok == expected


@pytest.mark.parametrize(("line", "column", "suggestion"), INVALID_LINES)
def test_invalid_line_reports_column_and_suggestion(line, column, suggestion):
    error = parse(line).error
    assert (error.column, error.suggestion) == (column, suggestion)
    assert error.expected
    assert f"column {column}" in error.describe(line)


WORDS = [
    "show",
    "take",
    "zone",
    "targets",
    "where",
    "=",
    "and",
    "<",
    "limit",
    "3",
    "out",
    "wait",
    "x",
    ",",
    "[",
    "]",
    '"',
    "1.5",
    "like",
    "by",
]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(WORDS), max_size=8).map(" ".join) | st.text(max_size=30))
def test_any_line_gives_a_statement_or_an_error_within_the_line(line):
    parsed = parse(line)
    if parsed.is_error():
        assert 1 <= parsed.error.column <= len(line) + 1
