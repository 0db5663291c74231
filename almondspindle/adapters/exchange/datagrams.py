"""Send and receive reports of hosts as UDP datagrams.

A datagram is one byte that tells the kind of report, and the report as a MessagePack array. Fields
are only added at its end, so hosts of different versions understand each other.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import singledispatch
from typing import Any, TypeVar

import msgspec
from msgspec import Struct

from almondspindle.core.events import DATAGRAM_IGNORED
from almondspindle.core.inventory import Revision
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.reports import HostReport, OutsideReport, Report, ZoneReport
from almondspindle.core.rollouts import RolloutStage
from almondspindle.decisions.store_eras import check_era
from almondspindle.utils.addresses import check_address, split_address

MAX_DATAGRAM_BYTES = 60_000
MS_PER_S = 1000


class _Counts(Struct, array_like=True):
    attempts: int
    errors: int


class _Contact(Struct, array_like=True):
    unbroken_s: float
    response_age_s: float


class _Crash(Struct, array_like=True):
    request_id: str
    address: str
    parts: tuple[str, ...]
    sent_age_s: float
    crash_age_s: float
    service: str = ""
    has_begun: bool = False


class _Quarantine(Struct, array_like=True):
    parts: tuple[str, ...]
    crash_age_s: float


class _CrashNews(Struct, array_like=True):
    crashes: tuple[_Crash, ...]
    answered: dict[str, float]
    quarantined: tuple[_Quarantine, ...]


class _Life(Struct, array_like=True):
    target: str
    address: str
    started_at_ms: int | None


class _RolloutKey(Struct, array_like=True):
    service: str
    version: str
    created: int


class _Tally(Struct, array_like=True):
    responses: int
    failures: int
    durations: tuple[int, ...]


class _RouteTally(Struct, array_like=True):
    route: str
    target: str
    tally: _Tally


class _RolloutProgress(Struct, array_like=True):
    key: _RolloutKey
    age_s: float
    stage: RolloutStage
    requests: int
    exposed: int
    tallies: tuple[_RouteTally, ...]


class _HostReport(Struct, array_like=True):
    host: str
    address: str
    number: int
    zone: str
    link_mbps: float
    reaches_store: bool
    contact: _Contact | None
    revisions: dict[str, int]
    in_flight: dict[str, int]
    failures: dict[str, _Counts]
    crashes: _CrashNews | None = None
    leaving: tuple[_Life, ...] = ()
    rollouts: tuple[_RolloutProgress, ...] = ()
    paced: dict[str, _Counts] = {}
    eras: dict[str, int] = {}
    ages_ms: dict[str, int] = {}
    known_from: dict[str, tuple[int, int]] = {}  # the era and number of each revision


class _ZoneReport(Struct, array_like=True):
    host: str
    address: str
    zone: str
    revisions: dict[str, int]
    in_flight: dict[str, int]
    failures: dict[str, _Counts]
    crashes: _CrashNews | None = None
    leaving: tuple[_Life, ...] = ()
    rollouts: tuple[_RolloutProgress, ...] = ()
    paced: dict[str, _Counts] = {}
    eras: dict[str, int] = {}
    ages_ms: dict[str, int] = {}
    known_from: dict[str, tuple[int, int]] = {}  # the era and number of each revision


class _OutsideReport(Struct, array_like=True):
    sender: _HostReport
    in_flight: dict[str, int]
    failures: dict[str, _Counts]
    rollouts: tuple[_RolloutProgress, ...] = ()
    paced: dict[str, _Counts] = {}


_KINDS: dict[type[Report], bytes] = {HostReport: b"h", ZoneReport: b"z", OutsideReport: b"o"}
_WIRE_TYPES: dict[bytes, type[Struct]] = {
    b"h": _HostReport,
    b"z": _ZoneReport,
    b"o": _OutsideReport,
}
_Revisions = TypeVar("_Revisions", HostReport, ZoneReport)
_WireRevisions = TypeVar("_WireRevisions", _HostReport, _ZoneReport)


def encode_report(report: Report) -> bytes:
    """Return the datagram for `report`."""
    return _KINDS[type(report)] + msgspec.msgpack.encode(_to_wire(report))


@singledispatch
def _to_wire(report: object) -> Struct:
    raise InvariantError(f"unexpected report {type(report).__name__}")


@_to_wire.register
def _(report: HostReport) -> Struct:
    return _with_numbers(report, _HostReport)


@_to_wire.register
def _(report: ZoneReport) -> Struct:
    return _with_numbers(report, _ZoneReport)


@_to_wire.register
def _(report: OutsideReport) -> Struct:
    sender = replace(report.sender, revisions={}, known_from={})
    wire = msgspec.convert(replace(report, sender=sender), _OutsideReport, from_attributes=True)
    wire.sender = _with_numbers(report.sender, _HostReport)
    return wire


def _with_numbers(
    report: HostReport | ZoneReport, wire_type: type[_WireRevisions]
) -> _WireRevisions:
    """Return the wire form of `report`, with the eras of revisions apart from their numbers."""
    bare = replace(report, revisions={}, known_from={})
    wire = msgspec.convert(bare, wire_type, from_attributes=True)
    wire.ages_ms = {topic: round(age_s * MS_PER_S) for topic, age_s in report.ages_s.items()}
    wire.revisions = {topic: revision.number for topic, revision in report.revisions.items()}
    wire.eras = {t: revision.era for t, revision in report.revisions.items() if revision.era}
    wire.known_from = {t: (each.era, each.number) for t, each in report.known_from.items()}
    return wire


@singledispatch
def _from_wire(wire: object) -> Report:
    raise InvariantError(f"unexpected report {type(wire).__name__}")


@_from_wire.register
def _(wire: _HostReport) -> Report:
    return _with_revisions(wire, HostReport)


@_from_wire.register
def _(wire: _ZoneReport) -> Report:
    return _with_revisions(wire, ZoneReport)


@_from_wire.register
def _(wire: _OutsideReport) -> Report:
    sender = _with_revisions(wire.sender, HostReport)
    wire.sender.revisions, wire.sender.known_from = {}, {}
    return replace(msgspec.convert(wire, OutsideReport, from_attributes=True), sender=sender)


def _with_revisions(wire: _HostReport | _ZoneReport, report_type: type[_Revisions]) -> _Revisions:
    revisions = {t: _checked(wire.eras.get(t, 0), each) for t, each in wire.revisions.items()}
    known_from = {topic: _checked(*each) for topic, each in wire.known_from.items()}
    ages_s = {topic: age_ms / MS_PER_S for topic, age_ms in wire.ages_ms.items()}
    wire.revisions, wire.known_from = {}, {}
    report = msgspec.convert(wire, report_type, from_attributes=True)
    return replace(report, revisions=revisions, known_from=known_from, ages_s=ages_s)


def _checked(era: int, number: int) -> Revision:
    check_era(era)
    return Revision(era, number)


def decode_report(data: bytes) -> Report:
    """Return the report in a datagram. Raise `ValueError` if it is malformed."""
    if data[:1] not in _WIRE_TYPES:
        raise msgspec.DecodeError(f"unknown kind of report {data[:1]!r}")
    try:
        wire = msgspec.msgpack.decode(data[1:], type=_WIRE_TYPES[data[:1]])
    except RecursionError as exc:
        raise ValueError(str(exc)) from None
    report = _from_wire(wire)
    _check_sender(report)
    return report


def _check_sender(report: Report) -> None:
    """Raise `ValueError` if no report can be sent to the sender's address, or it has no name."""
    sender = report.sender if isinstance(report, OutsideReport) else report
    check_address(sender.address)
    if not sender.host.isprintable():
        raise ValueError("the sender's name has control characters")


class UdpReportTransport(asyncio.DatagramProtocol):
    """Own the UDP socket of a host: send reports, and pass received ones to `on_report`."""

    def __init__(self, on_report: Callable[[Report], None]) -> None:
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
            report = decode_report(data)
        except ValueError as exc:
            emit(DATAGRAM_IGNORED, sender=f"{addr[0]}:{addr[1]}", reason=str(exc))
            return
        self._on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: a host that is down sends no reports."""

    def send(self, addresses: Sequence[str], report: Report) -> None:
        """Send `report` to each of `addresses`, unless it is too large for a datagram."""
        data = encode_report(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            emit(DATAGRAM_IGNORED, reason=f"report of {len(data)} bytes is too large")
            return
        for address in addresses:
            self._transport.sendto(data, split_address(address))
