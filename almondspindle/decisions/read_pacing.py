"""How fast a host reads responses that come in tiny pieces.

The load that this answers: targets in trouble that send headers, chunks or events of a few bytes,
as fast as they are read. Each piece costs the processor about as much as a large one, so the work
grows far faster than the bytes, and the requests to all other targets of the host wait. Such a
response isn't ended for that, since a sound target may send small pieces, too.
"""

from dataclasses import dataclass

READ_BYTES = 16 * 1024  # of one connection in a turn of the event loop
PACED_READ_BYTES = 4 * 1024  # the same after a costly read
# A read is costly if it has many headers, chunks and events, of few bytes each. The events of a
# sound stream are larger, also when many have arrived at once.
MIN_COSTLY_PIECES = 256
MAX_COSTLY_PIECE_BYTES = 16
# A piece takes a few microseconds, so all paced connections take about a tenth of a core together.
PAUSE_PER_PIECE_S = 20e-6
MAX_PAUSE_S = 1.0


@dataclass(slots=True)
class PacedReads:
    """The number of connections of a host whose reading is paused after a costly read."""

    paused: int = 0


@dataclass(slots=True)
class ReadWork:
    """What one read had: its bytes, and its headers, chunks and events as pieces."""

    size: int = 0
    pieces: int = 0

    @property
    def is_costly(self) -> bool:
        """Return whether the read took far more work than its bytes."""
        return self.pieces > MIN_COSTLY_PIECES and self.size < self.pieces * MAX_COSTLY_PIECE_BYTES


def next_read_size(last: ReadWork) -> int:
    """Return how many bytes to read at once after the read `last`."""
    return PACED_READ_BYTES if last.is_costly else READ_BYTES


def pause_s(last: ReadWork, paused: int) -> float:
    """Return for how long to read nothing from a connection after the read `last`, in seconds.

    `paused` is the number of other connections that are paused now. They share the same part of the
    processor's time.
    """
    if not last.is_costly:
        return 0.0
    return min(MAX_PAUSE_S, last.pieces * PAUSE_PER_PIECE_S * (paused + 1))
