"""Send and acknowledge membership probes as UDP datagrams.

Each round probes every host once, so a connection would be used for one probe only. With gRPC,
that costs about 1.5 KB of headers and segments per probe; the headers of a datagram are 28 bytes.
Also, datagrams need no connection that can become unresponsive.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.adapters.peer.probe_messages import (
    IndirectProbeRequest,
    IndirectProbeResponse,
    Probe,
    ProbeAck,
    gossip_from_wire,
    to_wire,
)
from almondspindle.core.events import DATAGRAM_IGNORED
from almondspindle.core.logs import emit
from almondspindle.core.members import Gossip
from almondspindle.core.roster import Host
from almondspindle.utils.addresses import split_address

DATAGRAM_OVERHEAD_BYTES = 28  # headers of IPv4 and UDP
MAX_RESPONSE_TASKS = 64  # at this limit, requests for indirect probes are dropped

SocketAddress = tuple[str, int]
ProbeReceiver = Callable[[Gossip], Awaitable[Gossip]]
IndirectProber = Callable[[Gossip, str, str], Awaitable[Gossip | None]]


class UdpProbeTransport(asyncio.DatagramProtocol):
    """Own the UDP socket of a host: send probes to peers, and respond to their probes."""

    def __init__(self) -> None:
        self._probe_numbers = count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._response_tasks: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._receive_probe: ProbeReceiver | None = None
        self._probe_for_peer: IndirectProber | None = None

    async def open(
        self, address: str, receive_probe: ProbeReceiver, probe_for_peer: IndirectProber
    ) -> None:
        """Bind `address` ("ip:port"), and serve probes and indirect probes with the callables."""
        self._receive_probe = receive_probe
        self._probe_for_peer = probe_for_peer
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Probe `host` with `gossip`; return the gossip of its acknowledgement.

        Return None if none arrives within `timeout_s` seconds.
        """
        number = next(self._probe_numbers)
        probe = Probe(number, to_wire(gossip))  # type: ignore[arg-type]
        ack = await self._request(host.address, number, probe, timeout_s)
        return gossip_from_wire(ack.gossip) if isinstance(ack, ProbeAck) else None

    async def probe_indirectly(
        self, helper: Host, gossip: Gossip, host: Host, timeout_s: float
    ) -> Gossip | None:
        """Have `helper` probe `host`; return the gossip of the acknowledgement.

        Return None if `helper` reports none or does not respond within `timeout_s` seconds.
        """
        number = next(self._probe_numbers)
        req = IndirectProbeRequest(number, to_wire(gossip), host.name, host.address)  # type: ignore[arg-type]
        result = await self._request(helper.address, number, req, timeout_s)
        if not isinstance(result, IndirectProbeResponse) or result.gossip is None:
            return None
        return gossip_from_wire(result.gossip)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. Called by asyncio."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Process one datagram. Called by asyncio."""
        try:
            msg = decode(data)
            self._process(msg, source)
        except (MalformedMessage, ValueError) as exc:
            emit(DATAGRAM_IGNORED, source=str(source), reason=str(exc))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: the probe's time-out covers them."""

    async def _request(self, address: str, number: int, msg: object, timeout_s: float) -> Any:
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        self._send(msg, split_address(address))
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _send(self, msg: object, destination: SocketAddress) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(encode(msg), destination)

    @singledispatchmethod
    def _process(self, msg: object, source: SocketAddress) -> None:
        raise ValueError(f"unexpected datagram {type(msg).__name__}")

    @_process.register
    def _(self, msg: ProbeAck, source: SocketAddress) -> None:
        gossip_from_wire(msg.gossip)  # raises ValueError if the gossip is malformed
        self._resolve(msg.number, msg)

    @_process.register
    def _(self, msg: IndirectProbeResponse, source: SocketAddress) -> None:
        if msg.gossip is not None:
            gossip_from_wire(msg.gossip)
        self._resolve(msg.number, msg)

    @_process.register
    def _(self, msg: Probe, source: SocketAddress) -> None:
        self._start(self._acknowledge(msg, gossip_from_wire(msg.gossip), source))

    @_process.register
    def _(self, msg: IndirectProbeRequest, source: SocketAddress) -> None:
        if len(self._response_tasks) < MAX_RESPONSE_TASKS:
            self._start(self._probe_other(msg, gossip_from_wire(msg.gossip), source))

    def _resolve(self, number: int, msg: object) -> None:
        fut = self._pending.get(number)
        if fut is not None and not fut.done():
            fut.set_result(msg)

    def _start(self, coro: Any) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._response_tasks.add(task)
        task.add_done_callback(self._response_tasks.discard)

    async def _acknowledge(self, msg: Probe, gossip: Gossip, source: SocketAddress) -> None:
        assert self._receive_probe is not None
        own_gossip = await self._receive_probe(gossip)
        self._send(ProbeAck(msg.number, to_wire(own_gossip)), source)  # type: ignore[arg-type]

    async def _probe_other(
        self, msg: IndirectProbeRequest, gossip: Gossip, source: SocketAddress
    ) -> None:
        assert self._probe_for_peer is not None
        host_gossip = await self._probe_for_peer(gossip, msg.host, msg.address)
        wire = None if host_gossip is None else to_wire(host_gossip)
        self._send(IndirectProbeResponse(msg.number, wire), source)  # type: ignore[arg-type]
