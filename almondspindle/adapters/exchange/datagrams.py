"""Send and hear reports as UDP datagrams."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from almondspindle.core.events import DATAGRAM_IGNORED
from almondspindle.core.logs import emit
from almondspindle.core.reports import HostReport
from almondspindle.utils.addresses import split_address

MAX_DATAGRAM_BYTES = 60_000
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(HostReport)


class ReportLink(asyncio.DatagramProtocol):
    """Own the datagram socket of a host."""

    def __init__(self, hear: Callable[[HostReport], None]) -> None:
        self._hear = hear
        self._transport: Any = None

    async def open(self, address: str) -> None:
        """Bind `address` ("ip:port")."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport. Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a report and hand it on. Called by asyncio."""
        try:
            report = _DECODER.decode(data)
        except msgspec.DecodeError as exc:
            emit(DATAGRAM_IGNORED, sender=f"{addr[0]}:{addr[1]}", reason=str(exc))
            return
        self._hear(report)

    def error_received(self, exc: Exception) -> None:
        """Ignore an answer of the network: a host that is away is found by its silence."""

    def send(self, addresses: list[str], report: HostReport) -> None:
        """Send `report` to each of `addresses`."""
        data = _ENCODER.encode(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            emit(DATAGRAM_IGNORED, sender=report.host, reason=f"a report of {len(data)} bytes")
            return
        for address in addresses:
            self._transport.sendto(data, split_address(address))
