"""Objects of another writer: one that can't be used costs that object alone."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspindle.core.inventory import HistoryUnavailable, Topic, UnreadableRecord, ZoneExclusion
from almondspindle.platform.objects import MAX_REASON_LENGTH, decode_record
from almondspindle.platform.pages import decode_events, decode_page
from almondspindle.platform.splitting import split_elements, split_members
from almondspindle.platform.store import PlatformStore
from tests.platform.test_objects import MANIFEST
from tests.standins.object_store import ObjectStore
from tests.standins.odd_objects import (
    DEEP,
    HOST,
    NAMELESS,
    ODD_HOSTS,
    ODD_NAMES,
    ODD_REPLICAS,
    ODD_REVISIONS,
    ODD_ROLLOUTS,
    REPLICA,
    ROLLOUT,
    stored,
)
from tests.standins.revisions import at

STORE_REVISION = at(100)
OBJECTS = {
    **{(Topic.TARGETS, label): raw for label, raw in ODD_REPLICAS.items()},
    **{(Topic.HOSTS, label): raw for label, raw in ODD_HOSTS.items()},
    **{(Topic.ROLLOUTS, label): raw for label, raw in ODD_ROLLOUTS.items()},
}
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@pytest.mark.parametrize(("topic", "label"), OBJECTS)
def test_an_odd_object_is_unreadable_and_keeps_its_name(topic, label):
    record = decode_record(topic, OBJECTS[topic, label], STORE_REVISION)
    assert record is not None
    assert record.name == "odd"
    assert isinstance(record.value, UnreadableRecord)
    assert at(0) < record.revision <= STORE_REVISION
    assert len(record.value.reason) <= MAX_REASON_LENGTH


@pytest.mark.parametrize("label", ODD_REVISIONS)
def test_a_revision_that_the_store_has_not_given_is_not_believed(label):
    record = decode_record(Topic.ZONES, stored({}, "a", ODD_REVISIONS[label]), STORE_REVISION)
    assert record is not None
    assert record.revision == STORE_REVISION
    assert isinstance(record.value, UnreadableRecord)


@pytest.mark.parametrize("topic", Topic)
@pytest.mark.parametrize("label", ODD_NAMES)
def test_a_name_that_can_not_be_a_header_names_nothing_to_use(topic, label):
    specs = {Topic.TARGETS: REPLICA, Topic.HOSTS: HOST, Topic.ROUTES: MANIFEST, Topic.ZONES: {},
             Topic.ROLLOUTS: ROLLOUT}  # fmt: skip
    record = decode_record(topic, stored(specs[topic], ODD_NAMES[label]), STORE_REVISION)
    assert record is not None
    assert record.name == ODD_NAMES[label]
    assert isinstance(record.value, UnreadableRecord)


@pytest.mark.parametrize("name", ["é", "a b", "a&b=c#d", "名"])
def test_a_printable_name_is_used(name):
    record = decode_record(Topic.ZONES, stored({}, name), STORE_REVISION)
    assert record is not None
    assert record.value == ZoneExclusion(name)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "change",
    [
        {"version": 10**23},
        {"services": [{"name": "s1", "cold_per_s": 1e308}]},
        {"routes": [{**MANIFEST["routes"][1], "split": [{"service": "s", "weight": -1}]}]},
        {"routes": [{**MANIFEST["routes"][0], "timeout_ms": 1e300}]},
        {"limits": {"idle_timeout_ms": -1}},
    ],
)
def test_a_manifest_with_numbers_beyond_all_bounds_is_unreadable(change):
    raw = stored({**MANIFEST, **change}, "main")
    record = decode_record(Topic.ROUTES, raw, STORE_REVISION)
    assert record is not None
    assert isinstance(record.value, UnreadableRecord)


@given(st.sampled_from(Topic), json_values, json_values, st.integers() | json_values)
def test_any_object_is_decoded_without_an_exception(topic, spec, name, rev):
    document = {"meta": {"name": name, "rev": rev}, "spec": spec}
    record = decode_record(topic, json.dumps(document).encode(), STORE_REVISION)
    assert (record is None) is not isinstance(name, str)
    assert record is None or at(0) < record.revision <= STORE_REVISION


@given(st.sampled_from(Topic), st.binary() | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_decoded_without_an_exception(topic, raw):
    decode_record(topic, raw, STORE_REVISION)


SPECS = {"TARGETS": REPLICA, "HOSTS": HOST, "ROUTES": MANIFEST}


@given(st.sampled_from(sorted(SPECS)), st.data())
def test_any_value_in_a_field_is_decoded_without_an_exception(topic, data):
    spec = dict(SPECS[topic])
    spec[data.draw(st.sampled_from(sorted(spec)))] = data.draw(json_values)
    record = decode_record(Topic[topic], stored(spec, "main"), STORE_REVISION)
    assert record is not None


@given(st.dictionaries(st.text(), json_values), st.sampled_from([None, 1]))
def test_members_are_split_as_a_decoder_does(value, indent):
    split = split_members(json.dumps(value, indent=indent).encode())
    decoded = {json.loads(b'"%b"' % name): json.loads(text) for name, text in split.items()}
    assert decoded == value


@given(st.lists(json_values), st.sampled_from([None, 1]))
def test_elements_are_split_as_a_decoder_does(value, indent):
    split = split_elements(json.dumps(value, indent=indent).encode())
    assert [json.loads(text) for text in split] == value


brackets = st.recursive(
    st.sampled_from([1, "]", '"', "\\", "[{"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from("a[}"), inner),
)


@given(st.lists(brackets), st.sampled_from([(",", ":"), (", ", ": "), (" ,\n", " :\t")]))
def test_brackets_at_any_depth_are_matched_as_a_decoder_does(value, separators):
    split = split_elements(json.dumps(value, separators=separators).encode())
    assert [json.loads(text) for text in split] == value


@given(st.binary() | st.text(alphabet='[]{}",:\\ 1').map(str.encode))
def test_splitting_anything_gives_parts_or_a_value_error(text):
    for split in (split_members, split_elements):
        try:
            split(text)
        except ValueError:
            continue


@pytest.mark.parametrize("odd", [*ODD_REPLICAS.values(), *NAMELESS.values()])
def test_the_other_objects_of_a_page_and_of_a_watch_are_read(odd):
    good = stored(REPLICA)
    page = decode_page(b'{"items":[%b,%b,%b],"more":true,"store_revision":7}' % (good, odd, good))
    assert [bytes(item) for item in page.items] == [good, odd, good]
    assert (page.more, page.store_revision) == (True, 7)
    event = b'{"object":%b,"deleted":%b}'
    found = decode_events(
        b'{"events":[%b,%b],"store_revision":8}'
        % (event % (odd, b"false"), event % (good, b"true"))
    )
    assert [(bytes(e.object), e.deleted) for e in found.events] == [(odd, False), (good, True)]
    assert found.store_revision == 8


@pytest.mark.parametrize(
    "body", [b"", b'{"items":[', b'{"items":[{"a":"]}', b'{"more":true}', b"[" * 5000, DEEP]
)
def test_a_page_whose_objects_can_not_be_told_apart_is_a_value_error(body):
    with pytest.raises(ValueError):
        decode_page(body)
    with pytest.raises(ValueError):
        decode_events(body)


def run(check) -> None:
    asyncio.run(check())


@pytest.mark.parametrize("name", ["a b", "a&b=c", "a#b", "a%41", "a+b", "é", "名", "a/../b"])
def test_a_list_goes_on_after_a_name_that_needs_quoting(name):
    async def check() -> None:
        async with ObjectStore() as store:
            # The first page ends with the name in question.
            for each in ("A", name, "\U0001f600", "\U0001f601"):
                await store.put("evacuations", each, {})
            result = await PlatformStore(store.address).read(Topic.ZONES)
            assert [r.name for r in result.ok.records] == ["A", name, "\U0001f600", "\U0001f601"]

    run(check)


@pytest.mark.parametrize("raw", NAMELESS.values())
def test_a_list_goes_on_after_an_object_without_a_name(raw):
    async def check() -> None:
        async with ObjectStore() as store:
            for each in ("a", "c", "d"):
                await store.put("evacuations", each, {})
            await store.put_bytes("evacuations", "b", raw)
            result = await PlatformStore(store.address).read(Topic.ZONES)
            assert [r.name for r in result.ok.records] == ["a", "c", "d"]

    run(check)


def test_a_list_goes_on_after_an_object_that_bears_the_name_of_another():
    async def check() -> None:
        async with ObjectStore() as store:
            for each in ("b", "d", "e", "g", "h"):
                await store.put("evacuations", each, {})
            for key, name in (("c", "a"), ("f", "b")):
                await store.put_bytes("evacuations", key, stored({}, name))
            result = await PlatformStore(store.address).read(Topic.ZONES)
            assert {r.name for r in result.ok.records} >= {"b", "d", "e", "g", "h"}

    run(check)


def test_a_page_without_any_name_is_an_error_and_not_an_end():
    async def check() -> None:
        async with ObjectStore() as store:
            for each in ("a", "b", "c"):
                await store.put_bytes("evacuations", each, b"7")
            assert (await PlatformStore(store.address).read(Topic.ZONES)).is_error()

    run(check)


def test_a_list_is_read_again_if_the_events_of_a_watch_can_not_be_told_apart():
    async def check() -> None:
        async with ObjectStore() as store:
            await store.put_bytes("evacuations", "a", b'{"meta":')
            result = await PlatformStore(store.address).watch(Topic.ZONES, at(0), 0.1)
            assert result.ok == HistoryUnavailable(Topic.ZONES)

    run(check)
