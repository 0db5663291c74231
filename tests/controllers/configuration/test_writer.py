"""Writes of the configuration, under faults and compared with a serial model."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    parse_feed,
    parse_stored,
)
from almondspindle.controllers.configuration.writer import (
    HISTORY_SEARCH_ENTRIES,
    ConfigWriter,
    WriterCfg,
)
from almondspindle.core.changes import (
    BringBack,
    CreateObject,
    DeleteObject,
    ObjectKind,
    ReplaceAll,
    SetFields,
    TakeOut,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Intent
from almondspindle.decisions.configuration.apply import apply_changes
from almondspindle.decisions.configuration.delta import diff, is_empty
from almondspindle.decisions.configuration.references import check_references
from almondspindle.decisions.configuration.writing import RECENT_ENTRIES
from tests.standins.memory_platform import MemoryPlatform

CFG = WriterCfg(attempts=6, pause_s=0.0, seed=1)
SERVICE = CreateObject(ObjectKind.SERVICE, "forecast-llm", {"kind": "chat"})
ZONE = CreateObject(ObjectKind.ZONE, "swakop-a", {"region": "erongo"})
OUT = TakeOut(ObjectKind.ZONE, "swakop-a")


def writer(platform: MemoryPlatform, seed: int = 1) -> ConfigWriter:
    return ConfigWriter(platform, ManualClock(), replace(CFG, seed=seed))


def stored(platform: MemoryPlatform):
    found = platform.objects[CONFIG_OBJECT]
    return parse_stored(found.value, found.version).ok


async def make_platform() -> MemoryPlatform:
    platform = MemoryPlatform()
    assert (await writer(platform).submit((SERVICE, ZONE), "first")).ok.version == 1
    return platform


def test_a_history_entry_records_operator_time_and_old_value():
    async def check():
        platform = await make_platform()
        accepted = (await writer(platform).submit((OUT,), "maria", expected_version=1)).ok
        entry = (await writer(platform).history(1)).ok[0]
        assert entry == accepted.entry
        assert (entry.operator, entry.previous, entry.version) == ("maria", 1, 2)
        assert entry.at == ManualClock().wall()
        assert entry.backward.zones["swakop-a"].intent is Intent.IN
        assert entry.forward.zones["swakop-a"].intent is Intent.OUT
        assert parse_feed(platform.objects[FEED_OBJECT].value).ok.entries[-1] == entry

    asyncio.run(check())


TEAM = {"token_sha256": "0" * 64}
REFUSED_CHANGES = [
    ((TakeOut(ObjectKind.ZONE, "swakop-b"),), "unknown_object", "swakop-a"),
    ((OUT, DeleteObject(ObjectKind.TEAM, "nobody")), "unknown_object", "none"),
    ((SERVICE,), "exists", "set its fields"),
    ((CreateObject(ObjectKind.SERVICE, "new"),), "invalid", "value for each"),
    (
        (SetFields(ObjectKind.SERVICE, "forecast-llm", {"policy.load_multipel": 2}),),
        "unknown_field",
        "",
    ),
    (
        (SetFields(ObjectKind.SERVICE, "forecast-llm", {"policy.load_multiple": 0.5}),),
        "invalid",
        "correct the values",
    ),
    (
        (SetFields(ObjectKind.SERVICE, "forecast-llm", {"kind": "chatty"}),),
        "invalid",
        "correct the values",
    ),
    ((SetFields(ObjectKind.ZONE, "swakop-a", {"region.x": 1}),), "unknown_field", "region"),
    (
        (CreateObject(ObjectKind.TEAM, "a", {**TEAM, "services": ["x"]}),),
        "broken_reference",
        "forecast",
    ),
    (
        (CreateObject(ObjectKind.TEAM, "a", TEAM), CreateObject(ObjectKind.TEAM, "b", TEAM)),
        "invalid",
        "token",
    ),
    ((CreateObject(ObjectKind.ZONE, "Bad Name"),), "invalid", "correct the values"),
    ((TakeOut(ObjectKind.TEAM, "a"),), "invalid", "zone or a target"),
]


@pytest.mark.parametrize(("changes", "code", "hint"), REFUSED_CHANGES)
def test_a_refused_list_changes_nothing_and_has_a_hint(changes, code, hint):
    async def check():
        platform = await make_platform()
        before = dict(platform.objects)
        error = (await writer(platform).submit(changes, "op")).error
        assert (error.code, platform.objects) == (code, before)
        assert hint in error.hint

    asyncio.run(check())


def other_operator(platform: MemoryPlatform, count: int = 1):
    """Return a function that writes `count` changes of another operator synchronously."""

    def act():
        async def write_all():
            for number in range(count):
                change = CreateObject(ObjectKind.ZONE, f"z{platform.calls['write']}-{number}")
                assert (await writer(platform).submit((change,), "other")).is_ok()

        coro = write_all()
        try:
            while True:
                coro.send(None)
        except StopIteration:
            return

    return act


FAULTS = {
    "lost response": (lambda p: setattr(p.faults, "lose_responses", 1), "ok"),
    "dropped write": (lambda p: setattr(p.faults, "drop_writes", 1), "ok"),
    "two lost responses": (lambda p: setattr(p.faults, "lose_responses", 2), "ok"),
    "conflict": (lambda p: p.faults.before_write.append(other_operator(p)), "ok"),
    "stale read": (lambda p: setattr(p.faults, "stale_reads", 2), "ok"),
    "unavailable": (lambda p: setattr(p.faults, "down", True), "store_unavailable"),
    "all writes dropped": (lambda p: setattr(p.faults, "drop_writes", 99), "outcome_unknown"),
    "endless conflicts": (
        lambda p: p.faults.before_write.extend(
            act for _ in range(6) for act in (other_operator(p), *[lambda: None] * 2)
        ),
        "too_many_conflicts",
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_change_is_neither_duplicated_nor_lost_under_faults(name):
    fault, expected = FAULTS[name]

    async def check():
        platform = await make_platform()
        fault(platform)
        outcome = await writer(platform).submit((OUT,), "op", in_force=1)
        got = "ok" if outcome.is_ok() else outcome.error.code
        own = [entry for entry in stored(platform).recent if entry.operator == "op"]
        assert (got, len(own)) == (expected, 1 if expected == "ok" else 0)
        intent = stored(platform).config.zone_intent("swakop-a")
        assert intent is (Intent.OUT if expected == "ok" else Intent.IN)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("others", "expected"),
    [(3, "ok"), (40, "ok"), (HISTORY_SEARCH_ENTRIES + 40, "outcome_unknown")],
)
def test_a_lost_response_followed_by_other_changes(others, expected):
    async def check():
        platform = await make_platform()
        platform.faults.lose_responses = 1
        original = platform.write

        async def write(name, value, version):
            outcome = await original(name, value, version)
            if outcome.is_error():
                platform.write = original
                other_operator(platform, others)()
            return outcome

        platform.write = write
        outcome = await writer(platform).submit((OUT,), "op")
        assert ("ok" if outcome.is_ok() else outcome.error.code) == expected
        if outcome.is_ok():
            assert outcome.ok.version == 2
        found = (await writer(platform).history(1000)).ok
        assert [entry.version for entry in found if entry.operator == "op"] == [2]

    asyncio.run(check())


def test_history_survives_writers_that_stop_after_the_update():
    async def check():
        platform = await make_platform()
        original = platform.write

        async def only_the_object(name, value, version):
            if name != CONFIG_OBJECT:
                raise asyncio.CancelledError
            return await original(name, value, version)

        total = RECENT_ENTRIES * 3
        for number in range(total):
            change = CreateObject(ObjectKind.ZONE, f"zone-{number}")
            platform.write = only_the_object if number % 2 else original
            try:
                await writer(platform).submit((change,), "op")
            except asyncio.CancelledError:
                continue
        platform.write = original
        now = stored(platform)
        kept = [entry.version for entry in (await writer(platform).history(1000)).ok]
        assert kept == list(range(now.config.version, 0, -1))
        assert len(now.recent) <= RECENT_ENTRIES + 1
        some = [entry.version for entry in (await writer(platform).history(40)).ok]
        assert some == kept[:40]

    asyncio.run(check())


def test_a_write_checks_the_expected_version_and_reports_no_change():
    async def check():
        platform = await make_platform()
        assert (await writer(platform).submit((OUT,), "a", 7)).error.code == "version_mismatch"
        assert (await writer(platform).submit((OUT,), "a", 1)).ok.version == 2
        again = (await writer(platform).submit((OUT,), "a")).ok
        assert (again.version, again.changed) == (2, False)

    asyncio.run(check())


def test_a_store_that_lost_changes_is_not_overwritten_before_a_restore():
    async def check():
        platform = await make_platform()
        backup = platform.objects[CONFIG_OBJECT]
        for change in (OUT, BringBack(ObjectKind.ZONE, "swakop-a"), OUT):
            await writer(platform).submit((change,), "op")
        in_force = stored(platform).config
        platform.put(CONFIG_OBJECT, backup.value, backup.version)
        late = await writer(platform).submit((SERVICE,), "op", in_force=in_force.version)
        assert late.error.code == "store_behind"
        restored = (await writer(platform).restore(in_force, "op")).ok
        assert restored.version == in_force.version + 1
        assert is_empty(diff(in_force, stored(platform).config))

    asyncio.run(check())


NAMES = st.sampled_from(["a", "b", "c"])
CHANGES = st.one_of(
    st.builds(CreateObject, st.just(ObjectKind.ZONE), NAMES),
    st.builds(CreateObject, st.just(ObjectKind.SERVICE), NAMES, st.just({"kind": "plain"})),
    st.builds(DeleteObject, st.sampled_from([ObjectKind.ZONE, ObjectKind.SERVICE]), NAMES),
    st.builds(TakeOut, st.sampled_from([ObjectKind.ZONE, ObjectKind.TARGET]), NAMES),
    st.builds(BringBack, st.sampled_from([ObjectKind.ZONE, ObjectKind.TARGET]), NAMES),
    st.builds(
        SetFields,
        st.just(ObjectKind.SERVICE),
        NAMES,
        st.fixed_dictionaries({"policy.cold_limit": st.integers(1, 5)}),
    ),
)
CHANGE_LISTS = st.lists(st.lists(CHANGES, min_size=1, max_size=3).map(tuple), max_size=5)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(CHANGE_LISTS, CHANGE_LISTS, st.integers(0, 2), st.integers(0, 2))
def test_two_concurrent_operators_match_a_serial_model(first, second, lost, dropped):
    async def operate(platform, lists, name, seed):
        for changes in lists:
            outcome = await writer(platform, seed).submit(changes, name)
            if outcome.is_ok() and outcome.ok.changed:
                accepted[outcome.ok.version] = changes

    accepted: dict[int, tuple] = {}

    async def check():
        platform = MemoryPlatform()
        platform.faults.lose_responses = lost
        platform.faults.drop_writes = dropped
        await asyncio.gather(operate(platform, first, "a", 1), operate(platform, second, "b", 2))
        model = ConfigSet()
        for version in sorted(accepted):
            model = check_references(apply_changes(model, accepted[version]).ok).ok
        found = stored(platform).config if CONFIG_OBJECT in platform.objects else ConfigSet()
        assert sorted(accepted) == list(range(1, found.version + 1))
        assert is_empty(diff(model, found))

    asyncio.run(check())


def test_replace_all_is_one_change():
    async def check():
        platform = await make_platform()
        config = ConfigSet(zones=stored(platform).config.zones)
        assert (await writer(platform).submit((ReplaceAll(config),), "op")).ok.version == 2
        assert not stored(platform).config.services

    asyncio.run(check())
