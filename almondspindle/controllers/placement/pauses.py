"""The pauses for which targets have asked this host."""

from almondspindle.core.events import PAUSE_IGNORED, TARGET_PAUSED
from almondspindle.core.logs import emit
from almondspindle.core.metrics import PAUSES, MetricSender
from almondspindle.core.placements import RequestedPause, TargetLife
from almondspindle.decisions.target_pauses import pause_s


class PauseTable:
    """The ends of the pauses, by lifetime of the target, in seconds on the monotonic clock."""

    def __init__(self, metrics: MetricSender) -> None:
        self._metrics = metrics
        self._ends: dict[TargetLife, float] = {}
        self._last_end = 0.0

    def until(self, life: TargetLife) -> float:
        """Return the end of the pause of a target in its lifetime `life`, 0 if there is none."""
        return self._ends.get(life, 0.0)

    def has_any(self, now: float) -> bool:
        """Return whether the pause of any target, listed or not, has not ended."""
        return now < self._last_end

    def add(self, life: TargetLife, requested: RequestedPause, now: float) -> float | None:
        """Note a pause and return its end, or None if its length is no positive number.

        A shorter pause doesn't end a longer one.
        """
        seconds = pause_s(requested)
        if seconds is None:
            emit(PAUSE_IGNORED, target=life.target, stated=requested.text)
            return None
        self._metrics.count(PAUSES)
        self._ends = {each: end for each, end in self._ends.items() if end > now}
        until = max(now + seconds, self.until(life))
        self._ends[life] = until
        self._last_end = max(until, self._last_end)
        emit(
            TARGET_PAUSED,
            target=life.target,
            address=life.address,
            stated=requested.text,
            paused_for_s=round(until - now, 2),
        )
        return until
