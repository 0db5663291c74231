"""Server streams with heartbeats, and the sink that writes a response to such a stream."""

import asyncio
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from almondspindle.adapters.peer.parts import (
    Heartbeat,
    RelayedChunk,
    RelayedEnd,
    RelayedHead,
)
from almondspindle.core.calls import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import InvariantError


@dataclass(eq=False, slots=True)
class HeartbeatStream:
    """One stream to a peer. `write_lock` is held during a write: gRPC allows one at a time.

    `has_written` tells whether anything was written since the last check for heartbeats.
    """

    context: Any
    has_written: bool = False
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def write(self, msg: object) -> None:
        """Send `msg`; wait while the reader is slow."""
        self.has_written = True
        async with self.write_lock:
            await self.context.write(msg)


class HeartbeatSender:
    """The task that sends a heartbeat on every stream that was idle for the last interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._streams: set[HeartbeatStream] = set()
        self._writes: set[asyncio.Task[None]] = set()

    def open(self, context: Any) -> HeartbeatStream:
        """Return a stream that gets heartbeats until it is passed to `close`."""
        stream = HeartbeatStream(context)
        self._streams.add(stream)
        return stream

    def close(self, stream: HeartbeatStream) -> None:
        """Stop sending heartbeats on `stream`."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            for stream in list(self._streams):
                self._send_if_idle(stream)

    def _send_if_idle(self, stream: HeartbeatStream) -> None:
        idle = not stream.has_written and not stream.write_lock.locked()
        stream.has_written = False
        if not idle:
            return
        task = asyncio.ensure_future(stream.write(Heartbeat()))
        self._writes.add(task)
        task.add_done_callback(self._on_written)

    def _on_written(self, task: "asyncio.Task[None]") -> None:
        self._writes.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved: the stream has ended, which its own task handles.
            task.exception()


class RelaySink:
    """Write the parts of one response to a peer, with the request's id and sequence numbers."""

    def __init__(self, stream: HeartbeatStream, request_id: RequestId) -> None:
        self._stream = stream
        self.request_id = request_id
        self.sequence = 0

    async def write(self, part: ResponsePart) -> None:
        """Send `part` to the peer; wait while the reader is slow."""
        await self._stream.write(_wrap(part, self))


# A singledispatch function costs a fifth of a singledispatchmethod, which is bound for each part.
@singledispatch
def _wrap(part: Any, sink: RelaySink) -> object:
    raise InvariantError(f"unexpected response part {type(part).__name__}")


@_wrap.register
def _(part: ResponseChunk, sink: RelaySink) -> object:
    sequence = sink.sequence
    sink.sequence += 1
    return RelayedChunk(sequence, part)


@_wrap.register
def _(part: ResponseHead, sink: RelaySink) -> object:
    return RelayedHead(sink.request_id, part)


@_wrap.register
def _(part: ResponseEnd, sink: RelaySink) -> object:
    return RelayedEnd(sink.request_id, sink.sequence)
