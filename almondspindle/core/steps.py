"""Log steps of the event loop that take long: nothing else is done in that time."""

from types import TracebackType

from almondspindle.core.clock import Clock
from almondspindle.core.events import STEP_SLOW
from almondspindle.core.logs import emit

MAX_STEP_S = 0.2  # callers notice a longer one


class TimedStep:
    """Log the block, which must not wait, as `step` with `fields` if it takes `MAX_STEP_S`."""

    __slots__ = ("_began_at", "_clock", "_fields", "_step")

    def __init__(self, clock: Clock, step: str, **fields: object) -> None:
        self._clock = clock
        self._step = step
        self._fields = fields
        self._began_at = 0.0

    def __enter__(self) -> None:
        self._began_at = self._clock.monotonic()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        took_s = self._clock.monotonic() - self._began_at
        if took_s >= MAX_STEP_S:
            emit(STEP_SLOW, step=self._step, took_s=round(took_s, 3), **self._fields)
