"""Write log lines to a file descriptor without blocking.

Lines of routine events that exceed their rate are dropped, and so is every line that does not fit
into the buffer because the reader is slow. The next line that fits is preceded by one that reports
how many lines were dropped. In a planned stop the rate is not limited, so that the end of each
request is in the log.
"""

import os
import select
from collections.abc import Callable
from typing import Any

import msgspec

BUFFER_BYTES = 64 * 1024  # about one second of lines at the maximum rate
ROUTINE_LINES_PER_S = 150.0  # at about 40 us a line, logging stays below 1% of a core
ROUTINE_BURST = 300.0  # lines that may exceed the rate
MESSAGE_TYPE = "message_type"
MS_PER_S = 1000


class BoundedLogWriter:
    """Encode messages as JSON lines, buffer them and write them to `descriptor`.

    `routine` holds the message types that are subject to the rate limit.
    """

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
        self._is_limited = True
        self.dropped = 0
        self.total_dropped = 0

    def write(self, message: dict[str, Any]) -> None:
        """Buffer `message` or drop it, and write what the reader accepts without blocking."""
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

    def lift_rate_limit(self) -> None:
        """Drop no more routine lines for exceeding their rate."""
        self._is_limited = False

    def close(self, timeout_s: float) -> None:
        """Write the rest of the buffer, waiting up to `timeout_s` seconds for a slow reader."""
        end = self._clock() + timeout_s
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self._buffer and (left_s := end - self._clock()) > 0:
            poll.poll(left_s * MS_PER_S)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, so the lines can't be written anywhere.
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
        if not self._is_limited:
            return True
        now = self._clock()
        gained = max(0.0, now - self._refilled_at) * ROUTINE_LINES_PER_S
        self._tokens = min(ROUTINE_BURST, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
