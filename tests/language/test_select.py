"""Tests of queries, compared with a naive implementation, and of documents."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.core.changes import ObjectKind, PutObject, TakeOut
from almondspindle.core.config import (
    AvailabilityZone,
    ConfigSet,
    Intent,
    Objectives,
    Policy,
    Service,
    ServiceKind,
    TargetOverride,
    Team,
)
from almondspindle.decisions.configuration.apply import apply_changes
from almondspindle.language.document import export_document, parse_document
from almondspindle.language.parser import parse
from almondspindle.language.rows import ZoneRow
from almondspindle.language.select import select

rows = st.lists(
    st.builds(
        ZoneRow,
        st.sampled_from("abcd"),
        st.sampled_from(["r", "s"]),
        st.sampled_from(["in", "out"]),
        st.integers(0, 3),
        st.integers(0, 3),
    ),
    max_size=12,
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(rows, st.integers(0, 3))
def test_select_equals_a_naive_implementation(rows, bound):
    line = f"show zones fields name, hosts where hosts >= {bound} and region != s"
    table = select(parse(f"{line} order by hosts desc, name limit 5").ok, rows).ok
    matching = [row for row in rows if row.hosts >= bound and row.region != "s"]
    expected = sorted(((row.name, row.hosts) for row in matching), key=lambda r: (-r[1], r[0]))[:5]
    assert list(table.rows) == expected


def test_unknown_field_error_suggests_the_nearest_field():
    error = select(parse("show zones where regio = x").ok, []).error
    assert "did you mean 'region'?" in error


def test_exported_document_reproduces_the_configuration():
    config = ConfigSet(
        version=3,
        teams={"a": Team("a", "0" * 64, 2.0, services=("s",))},
        services={
            "s": Service("s", ServiceKind.CHAT, Policy(load_multiple=1.5), Objectives(0.9), True)
        },
        zones={"z": AvailabilityZone("z", "erongo", Intent.OUT)},
        targets={"t": TargetOverride("t", limit=9)},
    )
    changes = parse_document(export_document(config)).ok
    assert apply_changes(ConfigSet(version=3), changes).ok == config
    assert apply_changes(config, changes).ok == config


def test_applying_a_document_keeps_intents():
    config = ConfigSet(zones={"z": AvailabilityZone("z", "erongo", Intent.OUT)})
    changes = parse_document("create zone z with region=coast\n").ok
    assert changes == (PutObject(ObjectKind.ZONE, "z", {"region": "coast"}),)
    assert apply_changes(config, changes).ok.zones["z"] == AvailabilityZone(
        "z", "coast", Intent.OUT
    )


def test_document_error_reports_the_line_number():
    text = "# zones\n\ntake zone a out\nshow zones\n"
    assert parse_document(text).error.line == 4
    assert parse_document("take zone a out\n").ok == (TakeOut(ObjectKind.ZONE, "a"),)
    assert parse_document("take zone a\n").error.line == 1
