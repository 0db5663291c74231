"""gRPC channels to peers, and the client that relays calls to the owners of targets."""

import asyncio
from typing import Any

import grpc
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, method_path
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import relay_request_from_call
from almondspindle.adapters.peer.reader import ResponseReader
from almondspindle.core.calls import Call, Candidate, Completion, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.utils.idle_timer import IdleTimer

CONNECT_TIMEOUT_S = 1.0
CONNECT_END_STATES = frozenset(
    {grpc.ChannelConnectivity.READY, grpc.ChannelConnectivity.TRANSIENT_FAILURE}
)
IDLE_TIMEOUT_S = 4.0
DISCARDED_CHANNEL_GRACE_S = 600.0  # for the calls in flight on a discarded channel
# Lets the owner's own deadline expire first, because its error message is more specific.
RELAY_TIMEOUT_MARGIN_S = 0.5


class Channels:
    """The gRPC channels of this process, one per peer address."""

    def __init__(self) -> None:
        self._channels: dict[str, aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, address: str) -> aio.Channel:
        """Return the channel to `address`; create it on first use."""
        if address not in self._channels:
            self._channels[address] = aio.insecure_channel(address, options=OPTIONS)
        return self._channels[address]

    async def connect(self, address: str) -> bool:
        """Return whether the channel to `address` is connected; wait up to `CONNECT_TIMEOUT_S`.

        Requests are sent only on a connected channel, so after False nothing has been sent.
        """
        channel = self.get(address)
        if channel.get_state() is grpc.ChannelConnectivity.READY:
            return True
        try:
            await asyncio.wait_for(_wait_connected(channel), CONNECT_TIMEOUT_S)
        except TimeoutError:
            return False
        return channel.get_state() is grpc.ChannelConnectivity.READY

    async def close(self) -> None:
        """Close all channels, without waiting for calls in flight on discarded ones."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()
        for task in self._closing:
            task.cancel()

    def discard(self, address: str) -> None:
        """Remove the channel to `address`, so that later calls open a new connection.

        The channel is closed in the background: its calls in flight get
        `DISCARDED_CHANNEL_GRACE_S` seconds to end.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        task = asyncio.ensure_future(channel.close(DISCARDED_CHANNEL_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _wait_connected(channel: aio.Channel) -> None:
    state = channel.get_state(try_to_connect=True)
    while state not in CONNECT_END_STATES:
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


class PeerOwnerClient:
    """Relay calls to the owners of targets over gRPC.

    Owners send heartbeats. If a stream receives nothing for `idle_timeout_s` seconds, its
    connection counts as failed: the stream is cancelled and the channel is discarded.
    """

    def __init__(
        self, channels: Channels, clock: Clock, idle_timeout_s: float = IDLE_TIMEOUT_S
    ) -> None:
        self._channels = channels
        self._clock = clock
        self._idle_timeouts = IdleTimeouts(idle_timeout_s, idle_timeout_s)

    async def relay(self, call: Call, candidate: Candidate, sink: ResponseSink) -> Completion:
        """Relay `call` to the candidate's owner and write the response to `sink`.

        Return how the call ended. The run state is NOT_RUN if there was no connection.
        """
        if not await self._channels.connect(candidate.owner_address):
            text = f"{candidate.owner}: no connection to {candidate.owner_address}"
            return Completion(False, Refusal(RefusalCode.PEER_UNREACHABLE, text, RunState.NOT_RUN))
        now = self._clock.monotonic()
        req = relay_request_from_call(call, candidate.target, now)
        stream = self._open(candidate.owner_address, req, call.deadline_at - now)
        reader = ResponseReader(call.request_id, sink)
        try:
            return await self._read(candidate, stream, reader)
        finally:
            stream.cancel()

    async def _read(self, candidate: Candidate, stream: Any, reader: ResponseReader) -> Completion:
        owner = candidate.owner
        try:
            with IdleTimer(self._idle_timeouts, self._clock, stream.cancel) as timer:
                async for part in stream:
                    timer.note_progress()
                    completion = await reader.process(part)
                    if completion is not None:
                        return completion
                    timer.start_waiting()
        except aio.AioRpcError as exc:
            return reader.failure(_refusal_code_of(exc), f"{owner}: {exc.details()}")
        except asyncio.CancelledError:
            if not timer.fired or is_cancelling():
                raise
            self._channels.discard(candidate.owner_address)
            return reader.failure(
                RefusalCode.PEER_UNREACHABLE, f"{owner}: the router is unresponsive"
            )
        return reader.failure(RefusalCode.RESPONSE_BROKEN, f"{owner}: the response is truncated")

    def _open(self, address: str, req: object, budget_s: float) -> Any:
        method = self._channels.get(address).unary_stream(
            method_path(RELAY), request_serializer=encode, response_deserializer=decode
        )
        return method(req, timeout=budget_s + RELAY_TIMEOUT_MARGIN_S)


def is_cancelling() -> bool:
    """Return whether the running task itself is being cancelled, not only a gRPC call in it."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _refusal_code_of(exc: aio.AioRpcError) -> RefusalCode:
    if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return RefusalCode.DEADLINE_EXCEEDED
    return RefusalCode.PEER_UNREACHABLE
