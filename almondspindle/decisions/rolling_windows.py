"""Sums of the services' tallies over the last 5 minutes, hour and 6 hours, in bounded memory."""

from collections import deque
from dataclasses import dataclass, field

from almondspindle.core.identifiers import ServiceName
from almondspindle.core.telemetry import ServiceTally

Tallies = dict[ServiceName, ServiceTally]


@dataclass(frozen=True, slots=True)
class WindowShape:
    """A window that consists of `slots` slots of `slot_s` seconds each."""

    name: str
    slot_s: float
    slots: int

    @property
    def length_s(self) -> float:
        """Return the length of the window in seconds."""
        return self.slot_s * self.slots


WINDOW_SHAPES = (
    WindowShape("5m", 30.0, 10),
    WindowShape("1h", 300.0, 12),
    WindowShape("6h", 3600.0, 6),
)


@dataclass(slots=True)
class _Slot:
    number: int
    tallies: Tallies = field(default_factory=dict)


class RollingWindow:
    """The tallies of each service within a window, summed per slot. Older slots do not count."""

    def __init__(self, shape: WindowShape) -> None:
        self.shape = shape
        self._slots: deque[_Slot] = deque(maxlen=shape.slots)

    def add(self, tallies: Tallies, now: float) -> None:
        """Add `tallies` to the slot that contains the time `now`."""
        number = int(now // self.shape.slot_s)
        if not self._slots or self._slots[-1].number != number:
            self._slots.append(_Slot(number))
        add_tallies(self._slots[-1].tallies, tallies)

    def total(self, now: float) -> Tallies:
        """Return the tallies of each service over the slots that lie within the window at `now`."""
        oldest = int(now // self.shape.slot_s) - self.shape.slots + 1
        total: Tallies = {}
        for slot in self._slots:
            if slot.number >= oldest:
                add_tallies(total, slot.tallies)
        return total


def add_tallies(total: Tallies, more: Tallies) -> None:
    """Add the tally of each service in `more` to that in `total`."""
    for service, tally in more.items():
        total.setdefault(service, ServiceTally()).merge(tally)
