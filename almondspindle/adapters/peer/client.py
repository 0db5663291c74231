"""The client side of the peer protocol."""

import asyncio
from typing import Any

import grpc
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, method_path
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import relay_request
from almondspindle.adapters.peer.reader import AnswerReader
from almondspindle.core.calls import Call, Candidate, Completion, ResponseSink
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import Refusal, RefusalCode, RunState
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.utils.idle_timer import IdleTimer

CONNECT_TIMEOUT_S = 1.0
SETTLED = frozenset({grpc.ChannelConnectivity.READY, grpc.ChannelConnectivity.TRANSIENT_FAILURE})
SILENCE_BOUND_S = 4.0
ABANDON_GRACE_S = 600.0
SEND_MARGIN_S = 0.5  # the owner's own deadline fires first and gives the better reason


class Channels:
    """The gRPC channels of this process, one per peer address."""

    def __init__(self) -> None:
        self._channels: dict[str, aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, address: str) -> aio.Channel:
        """Return the channel to `address`, opened when first asked for."""
        if address not in self._channels:
            self._channels[address] = aio.insecure_channel(address, options=OPTIONS)
        return self._channels[address]

    async def connect(self, address: str) -> bool:
        """Return whether the channel to `address` is connected; wait a short while for it.

        A request is written only on a connected channel, so a failure here means that nothing
        was sent.
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
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()
        for task in self._closing:
            task.cancel()

    def abandon(self, address: str) -> None:
        """Use a new connection to `address` from now on.

        Calls on the old one end by themselves; its close is not awaited.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        task = asyncio.ensure_future(channel.close(ABANDON_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _wait_connected(channel: aio.Channel) -> None:
    state = channel.get_state(try_to_connect=True)
    while state not in SETTLED:
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


class PeerOwnerLink:
    """Hand calls to the owners of targets over gRPC.

    Owners send heartbeats, so a stream without any part for `silence_bound_s` seconds is abandoned
    together with its channel; later calls open a new connection.
    """

    def __init__(
        self, channels: Channels, clock: Clock, silence_bound_s: float = SILENCE_BOUND_S
    ) -> None:
        self._channels = channels
        self._clock = clock
        self._bounds = IdleTimeouts(silence_bound_s, silence_bound_s)

    async def relay(self, call: Call, candidate: Candidate, sink: ResponseSink) -> Completion:
        """Have the candidate's owner answer `call` into `sink`; return how that ended."""
        if not await self._channels.connect(candidate.owner_address):
            text = f"{candidate.owner}: no connection to {candidate.owner_address}"
            return Completion(False, Refusal(RefusalCode.PEER_UNREACHABLE, text, RunState.NOT_RUN))
        now = self._clock.monotonic()
        req = relay_request(call, candidate.target, now)
        stream = self._open(candidate.owner_address, req, call.deadline_at - now)
        reader = AnswerReader(call.request_id, sink)
        try:
            return await self._read(candidate, stream, reader)
        finally:
            stream.cancel()

    async def _read(self, candidate: Candidate, stream: Any, reader: AnswerReader) -> Completion:
        owner = candidate.owner
        try:
            with IdleTimer(self._bounds, self._clock, stream.cancel) as timer:
                async for part in stream:
                    timer.note_progress()
                    finished = await reader.take(part)
                    if finished is not None:
                        return finished
                    timer.start_waiting()
        except aio.AioRpcError as exc:
            return reader.broken(_code_of(exc), f"{owner}: {exc.details()}")
        except asyncio.CancelledError:
            if not timer.fired or is_cancelling():
                raise
            self._channels.abandon(candidate.owner_address)
            return reader.broken(RefusalCode.PEER_UNREACHABLE, f"{owner}: the router went silent")
        return reader.broken(RefusalCode.RESPONSE_BROKEN, f"{owner}: no end mark")

    def _open(self, address: str, req: object, budget_s: float) -> Any:
        method = self._channels.get(address).unary_stream(
            method_path(RELAY), request_serializer=encode, response_deserializer=decode
        )
        return method(req, timeout=budget_s + SEND_MARGIN_S)


def is_cancelling() -> bool:
    """Return whether the running task was asked to cancel, beside its own cancelled call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _code_of(exc: aio.AioRpcError) -> RefusalCode:
    if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return RefusalCode.DEADLINE_EXCEEDED
    return RefusalCode.PEER_UNREACHABLE
