"""Send and answer membership probes as UDP datagrams.

A probe meets each host once in a round, so a connection for it is opened, used once and closed.
Over gRPC that costs about 1.5 KB of headers and segments for each probe; a datagram costs 28
bytes. A datagram also has no connection that may have gone silent between its two ends.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.adapters.peer.probe_messages import (
    Probe,
    ProbeAck,
    ProbeFor,
    ProbeForResult,
    gossip_from_wire,
    to_wire,
)
from almondspindle.core.events import DATAGRAM_IGNORED
from almondspindle.core.logs import emit
from almondspindle.core.members import Gossip
from almondspindle.core.roster import Host
from almondspindle.utils.addresses import split_address

DATAGRAM_OVERHEAD_BYTES = 28  # headers of IPv4 and UDP
HELPED_AT_ONCE = 64  # probes on behalf of others; more are dropped

SocketAddress = tuple[str, int]
HearProbe = Callable[[Gossip], Awaitable[Gossip]]
HelpProbe = Callable[[Gossip, str, str], Awaitable[Gossip | None]]


class UdpProbeLink(asyncio.DatagramProtocol):
    """Own the datagram socket of a host: ask peers whether they live, and answer them."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._answering: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._hear: HearProbe | None = None
        self._help: HelpProbe | None = None

    async def open(self, address: str, hear: HearProbe, help_probe: HelpProbe) -> None:
        """Bind `address` ("ip:port") and answer probes with the two callables."""
        self._hear = hear
        self._help = help_probe
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Return what `host` answers to `gossip`, or None."""
        number = next(self._numbers)
        probe = Probe(number, to_wire(gossip))  # type: ignore[arg-type]
        ack = await self._ask(host.address, number, probe, timeout_s)
        return gossip_from_wire(ack.gossip) if isinstance(ack, ProbeAck) else None

    async def probe_for(
        self, helper: Host, gossip: Gossip, host: Host, timeout_s: float
    ) -> Gossip | None:
        """Return what `host` answered to a probe by `helper`, or None."""
        number = next(self._numbers)
        req = ProbeFor(number, to_wire(gossip), host.name, host.address)  # type: ignore[arg-type]
        result = await self._ask(helper.address, number, req, timeout_s)
        if not isinstance(result, ProbeForResult) or result.answer is None:
            return None
        return gossip_from_wire(result.answer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Handle one datagram; called by asyncio."""
        try:
            msg = decode(data)
            self._take(msg, source)
        except (MalformedMessage, ValueError) as exc:
            emit(DATAGRAM_IGNORED, source=str(source), reason=str(exc))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a host has no socket at its address: its probe gets no answer."""

    async def _ask(self, address: str, number: int, msg: object, timeout_s: float) -> Any:
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        self._send(msg, split_address(address))
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _send(self, msg: object, to: SocketAddress) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(encode(msg), to)

    @singledispatchmethod
    def _take(self, msg: object, source: SocketAddress) -> None:
        raise ValueError(f"unexpected datagram {type(msg).__name__}")

    @_take.register
    def _(self, msg: ProbeAck, source: SocketAddress) -> None:
        gossip_from_wire(msg.gossip)
        self._settle(msg.number, msg)

    @_take.register
    def _(self, msg: ProbeForResult, source: SocketAddress) -> None:
        if msg.answer is not None:
            gossip_from_wire(msg.answer)
        self._settle(msg.number, msg)

    @_take.register
    def _(self, msg: Probe, source: SocketAddress) -> None:
        self._start(self._answer(msg, gossip_from_wire(msg.gossip), source))

    @_take.register
    def _(self, msg: ProbeFor, source: SocketAddress) -> None:
        if len(self._answering) < HELPED_AT_ONCE:
            self._start(self._assist(msg, gossip_from_wire(msg.gossip), source))

    def _settle(self, number: int, msg: object) -> None:
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(msg)

    def _start(self, coro: Any) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(self, msg: Probe, gossip: Gossip, source: SocketAddress) -> None:
        assert self._hear is not None
        answer = await self._hear(gossip)
        self._send(ProbeAck(msg.number, to_wire(answer)), source)  # type: ignore[arg-type]

    async def _assist(self, msg: ProbeFor, gossip: Gossip, source: SocketAddress) -> None:
        assert self._help is not None
        answer = await self._help(gossip, msg.host, msg.address)
        wire = None if answer is None else to_wire(answer)
        self._send(ProbeForResult(msg.number, wire), source)  # type: ignore[arg-type]
