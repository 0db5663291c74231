"""Server streams that stay alive with heartbeats while there is nothing to send."""

import asyncio
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from almondspindle.adapters.peer.parts import Heartbeat, RelayedChunk, RelayedEnd, RelayedHead
from almondspindle.core.calls import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import InvariantError


@dataclass(eq=False, slots=True)
class LiveStream:
    """One stream to a peer. Writes take turns, since gRPC takes one at a time."""

    context: Any
    wrote: bool = False
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def write(self, msg: object) -> None:
        """Send `msg`; wait while the reader is slow."""
        self.wrote = True
        async with self.turn:
            await self.context.write(msg)


class Heartbeats:
    """The task that sends a heartbeat on every stream that was idle for an interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._streams: set[LiveStream] = set()
        self._writes: set[asyncio.Task[None]] = set()

    def open(self, context: Any) -> LiveStream:
        """Return a stream that is kept alive until `close`."""
        stream = LiveStream(context)
        self._streams.add(stream)
        return stream

    def close(self, stream: LiveStream) -> None:
        """Send no more heartbeats on `stream`."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            for stream in list(self._streams):
                self._beat(stream)

    def _beat(self, stream: LiveStream) -> None:
        idle = not stream.wrote and not stream.turn.locked()
        stream.wrote = False
        if not idle:
            return
        task = asyncio.ensure_future(stream.write(Heartbeat()))
        self._writes.add(task)
        task.add_done_callback(self._written)

    def _written(self, task: "asyncio.Task[None]") -> None:
        self._writes.discard(task)
        if not task.cancelled():
            task.exception()  # the stream has ended, which its own task sees as well


class RelaySink:
    """Write the parts of one answer to a peer, numbered and with the request's id."""

    def __init__(self, stream: LiveStream, request_id: RequestId) -> None:
        self._stream = stream
        self.request_id = request_id
        self.sequence = 0

    async def write(self, part: ResponsePart) -> None:
        """Pass `part` to the peer. A write waits while the reader is slow."""
        await self._stream.write(_wrap(part, self))


# A function dispatches at a fifth of the cost of a method, which is bound anew for each part.
@singledispatch
def _wrap(part: Any, sink: RelaySink) -> object:
    raise InvariantError(f"unexpected answer part {type(part).__name__}")


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
