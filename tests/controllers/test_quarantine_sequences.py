"""The quarantine's table keeps its invariant in any order of crashes and answers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.controllers.quarantine.messages import (
    CheckRequest,
    CrashNewsReceived,
    GetCrashNews,
    RequestAttemptEnded,
)
from almondspindle.controllers.quarantine.table import MAX_QUARANTINED, QuarantineTable
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.core.clock import ManualClock
from almondspindle.core.crashes import CrashNews, QuarantineReport
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.node import Bounds, NodeCfg
from almondspindle.core.placements import AttemptEnd, AttemptReport

FIRST, SECOND, SOUND, FATAL, OTHER = "1-first", "1-second", "3-sound", "2-fatal", "other"
CRASHED = AttemptReport(AttemptEnd.CONNECTION_BROKEN, 200, target_is_down=True)
ANSWERED = AttemptReport(AttemptEnd.ANSWERED, 200, started=True, wrote_body=True)
MESSAGES = 80  # of a sequence


class Sequence:
    """Messages to the quarantine controller of one host, and the sets that it has."""

    def __init__(self) -> None:
        cfg = NodeCfg(HostName("h"), ZoneName("z"), "10.0.0.1", "", "", "", 1, 2, 9, Bounds())
        self.controller = QuarantineController(cfg, ManualClock())
        self.now = 100.0
        self.requests = 0

    def send(self, msg: object) -> object:
        return self.controller.handle(msg, self.now)

    def end(self, report: AttemptReport, target: int, *parts: str, after_s: float = 0.3) -> None:
        self.requests += 1
        request_id, sent_at = f"r-{self.requests}", self.now - after_s
        self.send(
            RequestAttemptEnded(request_id, frozenset(parts), f"t{target}", sent_at, report, "m")
        )

    def answer_others(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.end(ANSWERED, 9, OTHER)
            self.sets()  # crashes are judged before each report

    def is_allowed(self, *parts: str) -> bool:
        return self.send(CheckRequest(frozenset(parts))).is_ok()

    def sets(self) -> list[frozenset[str]]:
        news = self.send(GetCrashNews())
        return [frozenset(q.parts) for q in news.quarantined] if news else []

    def check_invariant(self) -> None:
        sets = self.sets()
        assert not any(a < b for a in sets for b in sets), sets


def test_an_answer_for_a_part_of_nested_quarantines_does_not_end_the_controller():
    """A sound part in two quarantines, one of which included the other, raised KeyError."""
    sequence = Sequence()
    sequence.answer_others(1.0)
    for target, first in enumerate((FIRST, SECOND, FIRST, FIRST)):
        sequence.end(CRASHED, target % 2, first, SOUND)
        sequence.end(CRASHED, target % 2, first, FATAL)
        sequence.answer_others(1.5)
    sequence.end(ANSWERED, 0, SECOND, SOUND)
    assert not sequence.is_allowed(FIRST, FATAL)
    assert not sequence.is_allowed(SECOND, FATAL)
    assert sequence.is_allowed(FIRST, SOUND)


class RandomSequence(Sequence):
    """A random sequence: crashes that cut what else runs at the target, and few answers."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.documents = [f"d{number}" for number in range(self.rng.randint(1, 3))]

    def play_message(self) -> None:
        self.now += self.rng.choice((0.05, 0.2, 0.5, 1.5))
        kinds = (self._crash, self._answer_other, self._answer, self._receive_news)
        self.rng.choices(kinds, (4, 6, 1, 1))[0]()

    def _crash(self) -> None:
        target = self.rng.randrange(4)
        self.end(CRASHED, target, self._first(), FATAL)
        for _ in range(self.rng.randint(0, 2)):
            self.end(CRASHED, target, self._first(), self.rng.choice(self.documents))

    def _answer(self) -> None:
        self.end(ANSWERED, 9, self._first(), self.rng.choice(self.documents))

    def _answer_other(self) -> None:
        self.end(ANSWERED, 9, OTHER)

    def _receive_news(self) -> None:
        parts = self.rng.sample([FIRST, SECOND, FATAL, *self.documents], self.rng.randint(1, 3))
        quarantine = QuarantineReport(tuple(sorted(parts)), self.rng.random())
        answered = {part: self.rng.random() for part in parts[:1] if self.rng.random() < 0.3}
        self.send(CrashNewsReceived(CrashNews((), answered, (quarantine,))))

    def _first(self) -> str:
        return self.rng.choice((FIRST, SECOND))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_no_quarantine_includes_another_one(seed):
    """Nested quarantines raised KeyError when one was removed while they were walked."""
    sequence = RandomSequence(seed)
    for _ in range(MESSAGES):
        sequence.play_message()
        sequence.check_invariant()


SETS = st.frozensets(st.sampled_from("abcde"), min_size=1, max_size=4)


@settings(derandomize=True)
@given(st.lists(st.one_of(SETS, st.sampled_from("abcde")), max_size=40))
def test_the_table_refuses_all_that_was_added_and_not_answered(steps):
    table, added, now = QuarantineTable(), [], 0.0
    for step in steps:
        now += 1.0
        if isinstance(step, frozenset):
            table.add(step, now)
            added.append(step)
        else:
            table.remove_answered(step, now)
            added = [parts for parts in added if step not in parts]
        sets = list(table.sets())
        assert not any(a < b for a in sets for b in sets)
        assert all(any(known <= parts for known in sets) for parts in added)


@pytest.mark.parametrize("count", [MAX_QUARANTINED, MAX_QUARANTINED + 3])
def test_the_table_drops_the_oldest_quarantine_above_its_limit(count):
    table = QuarantineTable()
    for number in range(count):
        table.add(frozenset({f"p{number}"}), float(number))
    kept = {part for parts in table.sets() for part in parts}
    assert kept == {f"p{number}" for number in range(count - MAX_QUARANTINED, count)}
