"""Addresses and datagrams of another writer: no failure but the call's own."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspindle.adapters.exchange.datagrams import (
    UdpReportTransport,
    decode_report,
    encode_report,
)
from almondspindle.adapters.http1.pool import ConnectionPool
from almondspindle.adapters.platform.transport import StoreTransport
from almondspindle.core.clock import SystemClock
from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.registry import MetricRegistry
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.utils.addresses import check_address

ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:²",
    "127.0.0.1:٤٢",
    "127.0.0.1:" + "1" * 5000,
    "127.0.0.1:",
    "127.0.0.1",
    "",
    "[::1:80",
    "127.0.0.1\0:80",
    "127.0.0.1\r\n:80",
    "x" * 70 + ".example:80",
)
HOST, ZONE = HostName("h1"), ZoneName("a")


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_connection_to_an_odd_address_is_an_error_result(address):
    async def check() -> None:
        pool = ConnectionPool(SystemClock(), MetricRegistry())
        assert (await pool.lease(TargetName("t"), address)).is_error()

    asyncio.run(check())


def test_an_odd_address_is_not_taken_for_a_target_that_refuses_connections():
    async def check() -> None:
        pool = ConnectionPool(SystemClock(), MetricRegistry())
        assert not await pool.refuses_connections(TargetName("t"), "127.0.0.1:99999")

    asyncio.run(check())


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_call_to_an_odd_address_is_an_error_result(address):
    async def check() -> None:
        transport = StoreTransport(f"http://{address}")
        assert (await transport.fetch("GET", "/", frozenset({200}), timeout_s=1.0)).is_error()

    asyncio.run(check())


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_odd_address_is_refused_in_records_and_datagrams(address):
    with pytest.raises(ValueError):
        check_address(address)
    sender = HostReport(HOST, address, 1, ZONE)
    for report in (sender, ZoneReport(HOST, address, ZONE), OutsideReport(sender)):
        with pytest.raises(ValueError):
            decode_report(encode_report(report))


@pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:65535", "[::1]:80"])
def test_ip_addresses_with_ports_are_accepted(address):
    check_address(address)
    assert decode_report(encode_report(HostReport(HOST, address, 1, ZONE))).address == address


def nested(depth: int) -> bytes:
    return b"\x91" * depth + b"\x01"


@pytest.mark.parametrize("kind", [b"h", b"z", b"o", b"?", b""])
@pytest.mark.parametrize("data", [nested(5000), b"\xc1", b"", b"\x9f" + nested(5000)])
def test_a_malformed_datagram_is_ignored(kind, data):
    received: list[object] = []
    transport = UdpReportTransport(received.append)
    transport.datagram_received(kind + data, ("127.0.0.1", 1))
    # Further fields of a later version are skipped, and may hold anything.
    fields = msgspec.msgpack.decode(encode_report(HostReport(HOST, "10.0.0.1:1", 1, ZONE))[1:])
    more = b"\x9c" + msgspec.msgpack.encode(fields)[1:] + nested(5000)
    transport.datagram_received(b"h" + more, ("127.0.0.1", 1))
    assert received == []


@given(st.sampled_from([b"h", b"z", b"o"]), st.binary(max_size=200))
def test_any_datagram_is_decoded_or_ignored(kind, data):
    UdpReportTransport(lambda report: None).datagram_received(kind + data, ("127.0.0.1", 1))
