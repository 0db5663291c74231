"""The client side of the peer protocol."""

import asyncio
from functools import singledispatchmethod
from typing import Any

import grpc
from grpc import aio

from almondspindle.adapters.peer.base import OPTIONS, RELAY, method_path
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.messages import relay_request
from almondspindle.core.calls import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerSink,
    Call,
    Candidate,
    Finished,
)
from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState

CONNECT_TIMEOUT_S = 1.0
SETTLED = frozenset({grpc.ChannelConnectivity.READY, grpc.ChannelConnectivity.TRANSIENT_FAILURE})
SEND_MARGIN_S = 0.5  # the owner's own deadline fires first and gives the better reason


class Channels:
    """The gRPC channels of this process, one per peer address."""

    def __init__(self) -> None:
        self._channels: dict[str, aio.Channel] = {}

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


async def _wait_connected(channel: aio.Channel) -> None:
    state = channel.get_state(try_to_connect=True)
    while state not in SETTLED:
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


class _AnswerReader:
    """Follow the parts of one relayed answer."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._started = False

    @singledispatchmethod
    async def take(self, part: object) -> Finished | None:
        """Pass `part` on; return how the answer ended when `part` is its last."""
        raise InvariantError(f"unexpected answer part {type(part).__name__}")

    @take.register
    async def _(self, part: AnswerHead) -> Finished | None:
        self._started = True
        await self._sink.write(part)
        return None

    @take.register
    async def _(self, part: AnswerChunk) -> Finished | None:
        await self._sink.write(part)
        return None

    @take.register
    async def _(self, part: AnswerEnd) -> Finished | None:
        await self._sink.write(part)
        return Finished(started=True)

    @take.register
    async def _(self, part: Refusal) -> Finished | None:
        return Finished(self._started, part)

    def broken(self, code: RefusalCode, message: str) -> Finished:
        """Return the end of an answer whose rest will not come."""
        return Finished(self._started, Refusal(code, message, RunState.UNKNOWN))


class PeerOwnerLink:
    """Hand calls to the owners of targets over gRPC."""

    def __init__(self, channels: Channels, clock: Clock) -> None:
        self._channels = channels
        self._clock = clock

    async def relay(self, call: Call, candidate: Candidate, sink: AnswerSink) -> Finished:
        """Have the candidate's owner answer `call` into `sink`; return how that ended."""
        if not await self._channels.connect(candidate.owner_address):
            text = f"{candidate.owner}: no connection to {candidate.owner_address}"
            return Finished(False, Refusal(RefusalCode.PEER_UNREACHABLE, text, RunState.NOT_RUN))
        now = self._clock.monotonic()
        req = relay_request(call, candidate.target, now)
        stream = self._open(candidate.owner_address, req, call.deadline_at - now)
        reader = _AnswerReader(sink)
        try:
            async for part in stream:
                finished = await reader.take(part)
                if finished is not None:
                    return finished
        except aio.AioRpcError as exc:
            return reader.broken(_code_of(exc), f"{candidate.owner}: {exc.details()}")
        finally:
            stream.cancel()
        return reader.broken(RefusalCode.ANSWER_BROKEN, f"{candidate.owner}: no end mark")

    def _open(self, address: str, req: object, budget_s: float) -> Any:
        method = self._channels.get(address).unary_stream(
            method_path(RELAY), request_serializer=encode, response_deserializer=decode
        )
        return method(req, timeout=budget_s + SEND_MARGIN_S)


def _code_of(exc: aio.AioRpcError) -> RefusalCode:
    if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return RefusalCode.DEADLINE_EXCEEDED
    return RefusalCode.PEER_UNREACHABLE
