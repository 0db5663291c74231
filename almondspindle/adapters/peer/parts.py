"""The parts of a relayed answer as they travel between peers.

HTTP/2 keeps the bytes of a stream in order and apart from other streams. The request id in the
first and last part and the sequence number in each part guard against faults above it, in either
process, at a cost of a few bytes a part.
"""

from dataclasses import dataclass

from almondspindle.core.calls import ResponseChunk, ResponseHead
from almondspindle.core.identifiers import RequestId


@dataclass(frozen=True, slots=True)
class RelayedHead:
    """The head of the answer to the request `request_id`."""

    request_id: RequestId
    head: ResponseHead


@dataclass(frozen=True, slots=True)
class RelayedChunk:
    """A piece of the body; `sequence` counts the pieces of an answer from 0."""

    sequence: int
    chunk: ResponseChunk


@dataclass(frozen=True, slots=True)
class RelayedEnd:
    """The end mark; `sequence` is the number of pieces that went before."""

    request_id: RequestId
    sequence: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing else was sent for a while; the stream is alive."""
