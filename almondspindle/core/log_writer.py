"""Write log lines to a descriptor without ever waiting for its reader.

What is dropped first: lines of routine events over their rate, then every line while the reader
takes none and the buffer is full. A line tells how many were dropped, as soon as one can be
written again.
"""

import os
from collections.abc import Callable
from typing import Any

import msgspec

BUFFER_BYTES = 64 * 1024  # about a second of lines at the bound
ROUTINE_LINES_PER_S = 150.0  # a line costs about 40 us, so lines stay under 1% of a core
ROUTINE_BURST = 300.0  # lines
MESSAGE_TYPE = "message_type"


class BoundedLogWriter:
    """Buffer and write lines; `routine` holds the message types that are dropped first."""

    def __init__(
        self, descriptor: int, clock: Callable[[], float], routine: frozenset[str]
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._routine = routine
        self._buffer = bytearray()
        self._tokens = ROUTINE_BURST
        self._refilled_at = clock()
        self.dropped = 0
        self.total_dropped = 0

    def write(self, message: dict[str, Any]) -> None:
        """Take one message; write as much as the reader takes now."""
        is_routine = message.get(MESSAGE_TYPE) in self._routine
        if is_routine and not self._take_token():
            self._count_dropped()
            return
        if self.dropped and len(self._buffer) < BUFFER_BYTES:
            self._append({MESSAGE_TYPE: "almondspindle:1605", "dropped": self.dropped})
            self.dropped = 0
        if not self._append(message):
            self._count_dropped()
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Whoever read the lines has gone, and there is nowhere left to tell of it.
            written = len(self._buffer)
        del self._buffer[:written]

    def _append(self, message: dict[str, Any]) -> bool:
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            return False
        self._buffer += line
        return True

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.total_dropped += 1

    def _take_token(self) -> bool:
        now = self._clock()
        gained = max(0.0, now - self._refilled_at) * ROUTINE_LINES_PER_S
        self._tokens = min(ROUTINE_BURST, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
