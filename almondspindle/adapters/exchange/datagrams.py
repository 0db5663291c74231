"""Send and receive host reports as UDP datagrams."""

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


class UdpReportTransport(asyncio.DatagramProtocol):
    """Own the UDP socket of a host: send reports, and pass received ones to `on_report`."""

    def __init__(self, on_report: Callable[[HostReport], None]) -> None:
        self._on_report = on_report
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
        """Store the transport. Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a report and pass it to the callback. Called by asyncio."""
        try:
            report = _DECODER.decode(data)
        except msgspec.DecodeError as exc:
            emit(DATAGRAM_IGNORED, sender=f"{addr[0]}:{addr[1]}", reason=str(exc))
            return
        self._on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: a host that is down sends no reports."""

    def send(self, addresses: list[str], report: HostReport) -> None:
        """Send `report` to each of `addresses`, unless it is too large for a datagram."""
        data = _ENCODER.encode(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            emit(
                DATAGRAM_IGNORED,
                sender=report.host,
                reason=f"report of {len(data)} bytes is too large",
            )
            return
        for address in addresses:
            self._transport.sendto(data, split_address(address))
