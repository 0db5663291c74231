"""The parts of a relayed response, as sent between peers.

HTTP/2 delivers the bytes of a stream in order and does not mix streams. The request id in the
head and the end, and the sequence number in each chunk and the end, detect faults in the layers
above HTTP/2 in both processes. They cost a few bytes per part.
"""

from dataclasses import dataclass

from almondspindle.core.calls import ResponseChunk, ResponseHead
from almondspindle.core.identifiers import RequestId


@dataclass(frozen=True, slots=True)
class RelayedHead:
    """The head of the response to the request `request_id`."""

    request_id: RequestId
    head: ResponseHead


@dataclass(frozen=True, slots=True)
class RelayedChunk:
    """A chunk of the body. `sequence` numbers the chunks of a response from 0."""

    sequence: int
    chunk: ResponseChunk


@dataclass(frozen=True, slots=True)
class RelayedEnd:
    """The end of a complete response. `sequence` is the number of its chunks."""

    request_id: RequestId
    sequence: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keep the stream from counting as unresponsive while there is nothing else to send."""
