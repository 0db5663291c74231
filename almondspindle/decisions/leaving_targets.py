"""Remember which targets have said in a response that they are leaving.

Only a later start of a target ends its leaving. Its record may be older than the response, and the
store may be out of reach, so a record that still describes the same start changes nothing.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from almondspindle.core.identifiers import TargetName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.placements import TargetLife, TargetNotice

NEWS_S = 1.5  # how long a host reports a leaving to other hosts at least
MAX_REPORTED = 16  # the newest; about 50 bytes each
MAX_REMEMBERED = 1000  # targets; the store has dropped the records of the oldest by then


def life_of(record: TargetRecord) -> TargetLife:
    """Return the lifetime of the target that `record` describes."""
    return TargetLife(record.name, record.address, record.started_at_ms)


def find_sender(
    notice: TargetNotice, expected: TargetRecord, listed: Mapping[TargetName, TargetRecord]
) -> TargetLife | None:
    """Return the target that sent `notice`, or None if it can't be told.

    `expected` is the target that the attempt was for. At its address there may be another target
    by now, which names itself or is found by its record.
    """
    if notice.instance == expected.name or not (notice.instance or notice.is_misdirected):
        return life_of(expected)
    if notice.instance is not None:
        record = listed.get(notice.instance)
        is_known = record is not None and record.address == expected.address
        started_at_ms = record.started_at_ms if record is not None and is_known else None
        return TargetLife(notice.instance, expected.address, started_at_ms)
    others = [
        record
        for record in listed.values()
        if record.address == expected.address and record.name != expected.name
    ]
    return life_of(others[0]) if len(others) == 1 else None


@dataclass(slots=True)
class _Leaving:
    started_at_ms: int | None
    learned_at: float


class LeavingTargets:
    """The lifetimes of targets that are leaving, those learned last at the end."""

    def __init__(self) -> None:
        self._leaving: dict[tuple[TargetName, str], _Leaving] = {}

    def add(self, life: TargetLife, now: float) -> bool:
        """Record that `life` is ending; return whether that is new."""
        key = (life.target, life.address)
        known = self._leaving.get(key)
        if known is not None and not _is_later(life.started_at_ms, known.started_at_ms):
            return False
        self._leaving.pop(key, None)
        self._leaving[key] = _Leaving(life.started_at_ms, now)
        if len(self._leaving) > MAX_REMEMBERED:
            del self._leaving[next(iter(self._leaving))]
        return True

    def includes(self, record: TargetRecord) -> bool:
        """Return whether the target of `record` is leaving.

        If the start of the leaving target is unknown, it is taken from the first record of it.
        """
        leaving = self._leaving.get((record.name, record.address))
        if leaving is None:
            return False
        if leaving.started_at_ms is None:
            leaving.started_at_ms = record.started_at_ms
        return record.started_at_ms <= leaving.started_at_ms

    def has_returned(self, record: TargetRecord) -> bool:
        """Return whether the target of `record` was leaving and has started again since."""
        return (record.name, record.address) in self._leaving and not self.includes(record)

    def news(
        self, records: Mapping[TargetName, TargetRecord], now: float
    ) -> tuple[TargetLife, ...]:
        """Return the lifetimes to report to other hosts at `now`.

        A leaving is reported for `NEWS_S`, and after that while the target's record in `records`
        doesn't state it: a host that has just started knows only the record.
        """
        recent = [
            TargetLife(*key, leaving.started_at_ms)
            for key, leaving in self._leaving.items()
            if now - leaving.learned_at <= NEWS_S or self._is_unrecorded(records.get(key[0]))
        ]
        return tuple(recent[-MAX_REPORTED:])

    def _is_unrecorded(self, record: TargetRecord | None) -> bool:
        return record is not None and not record.is_leaving and self.includes(record)


def _is_later(started_at_ms: int | None, known_ms: int | None) -> bool:
    return started_at_ms is not None and (known_ms is None or started_at_ms > known_ms)
