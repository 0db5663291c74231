"""Test which targets are taken for leaving after what responses say."""

from almondspindle.core.identifiers import ServiceName, TargetName, ZoneName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.placements import TargetLife, TargetNotice
from almondspindle.decisions.leaving_targets import (
    MAX_REMEMBERED,
    MAX_REPORTED,
    NEWS_S,
    LeavingTargets,
    find_sender,
    life_of,
)

ADDRESS = "10.1.0.1:80"


def make_record(
    name: str = "t0", address: str = ADDRESS, born: int = 5, is_leaving: bool = False
) -> TargetRecord:
    return TargetRecord(
        TargetName(name), ServiceName("s"), address, ZoneName("a"), 8, is_leaving, 0.0, born
    )


def leaving_since(record: TargetRecord, now: float = 0.0) -> LeavingTargets:
    leaving = LeavingTargets()
    assert leaving.add(life_of(record), now)
    return leaving


def test_record_of_the_same_or_an_earlier_start_does_not_bring_a_target_back():
    leaving = leaving_since(make_record(born=5))
    assert leaving.includes(make_record(born=5))
    assert leaving.includes(make_record(born=4))
    assert not leaving.has_returned(make_record(born=5))


def test_target_that_started_again_is_not_leaving():
    leaving = leaving_since(make_record(born=5))
    assert not leaving.includes(make_record(born=6))
    assert leaving.has_returned(make_record(born=6))


def test_another_target_at_the_address_is_not_leaving():
    leaving = leaving_since(make_record("t0"))
    assert not leaving.includes(make_record("t1"))


def test_target_of_the_same_name_at_another_address_is_not_leaving():
    leaving = leaving_since(make_record("t0"))
    assert not leaving.includes(make_record("t0", address="10.1.0.2:80"))


def test_response_names_the_expected_target_or_nobody():
    record = make_record("t0")
    listed = {record.name: record}
    assert find_sender(TargetNotice(1), record, listed) == life_of(record)
    assert find_sender(TargetNotice(1, TargetName("t0")), record, listed) == life_of(record)


def test_misdirected_request_takes_out_the_target_that_responded():
    expected, other = make_record("t0"), make_record("t1", born=7)
    named = TargetNotice(1, TargetName("t1"), is_misdirected=True)
    unnamed = TargetNotice(1, is_misdirected=True)
    listed = {expected.name: expected, other.name: other}
    assert find_sender(named, expected, listed) == life_of(other)
    assert find_sender(unnamed, expected, listed) == life_of(other)
    assert find_sender(unnamed, expected, {expected.name: expected}) is None


def test_start_of_an_unlisted_target_is_taken_from_its_first_record():
    expected = make_record("t0")
    named = TargetNotice(1, TargetName("t1"), is_misdirected=True)
    life = find_sender(named, expected, {expected.name: expected})
    assert life == TargetLife(TargetName("t1"), ADDRESS, None)
    leaving = LeavingTargets()
    assert leaving.add(life, 0.0)
    assert leaving.includes(make_record("t1", born=7))
    assert not leaving.includes(make_record("t1", born=8))


def test_leaving_is_reported_until_the_record_states_it():
    record = make_record()
    leaving = leaving_since(record, now=1.0)
    assert leaving.news({}, 1.0 + NEWS_S) == (life_of(record),)
    assert leaving.news({}, 1.1 + NEWS_S) == ()
    assert leaving.news({record.name: record}, 99.0) == (life_of(record),)
    stated = make_record(is_leaving=True)
    assert leaving.news({record.name: stated}, 99.0) == ()


def test_leaving_is_news_once():
    record = make_record()
    leaving = leaving_since(record)
    assert not leaving.add(life_of(record), 1.0)
    assert not leaving.add(life_of(make_record(born=4)), 1.0)
    assert leaving.add(life_of(make_record(born=6)), 1.0)


def test_reported_and_remembered_targets_are_bounded():
    leaving = LeavingTargets()
    records = [make_record(f"t{number}") for number in range(MAX_REMEMBERED + 1)]
    for record in records:
        leaving.add(life_of(record), 0.0)
    assert leaving.news({}, 0.0) == tuple(life_of(record) for record in records[-MAX_REPORTED:])
    assert not leaving.includes(records[0])
    assert leaving.includes(records[1])
