"""Tests of probes over real datagrams, and of host tables over gRPC."""

import asyncio
import socket

import pytest

from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.adapters.peer.host_tables import GrpcHostTableClient, serve_host_table
from almondspindle.adapters.peer.probe_messages import Probe, gossip_from_wire, to_wire
from almondspindle.adapters.peer.probes import UdpProbeTransport
from almondspindle.adapters.peer.server import PeerServer, Publisher
from almondspindle.chain.base import Chain
from almondspindle.core.clock import SystemClock
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.members import (
    Gossip,
    LoadDigest,
    MemberRecord,
    ServiceLoadSummary,
    TargetEntry,
)
from almondspindle.core.roster import Host, HostState, Roster, RosterDelta, Target, TargetState
from almondspindle.decisions.digests import load_digest
from tests.standins.ports import free_port

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1  # for probes that get no response
MAX_DATAGRAM_BYTES = 1400


def member(number: int) -> MemberRecord:
    return MemberRecord(f"host-{number:010d}", "zone-0001", "10.100.100.100:9080", 1796371194720, 3)


def target(number: int) -> TargetEntry:
    name = f"target-{number:010d}"
    listed = Target(name, "forecast-llm", "zone-0001", "10.100.100.100:9080", TargetState.LEAVING)
    return TargetEntry(name, listed, 1796371194720)


GOSSIP = Gossip(
    member(0),
    7,
    2**32 - 1,
    2**32 - 2,
    (member(1).with_state(HostState.DEAD),),
    (target(1), TargetEntry("removed", None, 5)),
    (LoadDigest(2**32 - 1, 1.5, (ServiceLoadSummary(1, 2, 3, 4), ServiceLoadSummary(5, 6, 7, 8))),),
    (LoadDigest(9, 0.0, ()),),
)


def test_decoding_an_encoded_probe_returns_equal_gossip():
    probe = decode(encode(Probe(3, to_wire(GOSSIP))))
    assert (probe.number, gossip_from_wire(probe.gossip)) == (3, GOSSIP)


def test_decoding_an_encoded_roster_delta_returns_an_equal_one():
    host = Host("a", "z", "1:1", HostState.DAMPED)
    delta = RosterDelta((host,), (target(1).target,), ("b",), ("c",))
    assert decode(encode(delta)) == delta


INVALID_GOSSIP = [
    ("unknown member state", lambda raw: raw[0].__setitem__(5, 99)),
    ("incomplete counts", lambda raw: raw[6].append([1, 2, [1, 2, 3]])),
]


def invalid_probe(change) -> bytes:
    import msgspec

    type_number, (number, raw) = msgspec.msgpack.decode(encode(Probe(1, to_wire(GOSSIP))))
    change(raw)
    return msgspec.msgpack.encode((type_number, (number, raw)))


@pytest.mark.parametrize(
    ("case", "change"), INVALID_GOSSIP, ids=[case for case, _ in INVALID_GOSSIP]
)
def test_invalid_gossip_raises_an_error(case, change):
    with pytest.raises((ValueError, MalformedMessage)):
        gossip_from_wire(decode(invalid_probe(change)).gossip)


def test_the_largest_probe_fits_into_a_datagram():
    names = [f"service-{n}" for n in range(7)]
    zone_digest = load_digest("zone", [ServiceDigest(name, 5000, 5000, 5000) for name in names])
    host_digest = load_digest("host", [ServiceDigest(name, 500, 10, 10) for name in names[:2]])
    members = tuple(member(n) for n in range(8))
    gossip = Gossip(
        member(0),
        10**6,
        2**32 - 1,
        2**32 - 1,
        members,
        (),
        (host_digest,) * 16,
        (zone_digest,) * 3,
    )
    assert len(encode(Probe(10**6, to_wire(gossip)))) <= MAX_DATAGRAM_BYTES


async def open_transport(name: str) -> tuple[UdpProbeTransport, Host, list[Gossip]]:
    """Return a transport that acknowledges probes as host `name`, and the gossip it receives."""
    transport, received = UdpProbeTransport(), []
    host = Host(name, "z", f"127.0.0.1:{free_port()}")

    async def receive_probe(gossip: Gossip) -> Gossip:
        received.append(gossip)
        return Gossip(MemberRecord(name, "z", host.address))

    async def probe_for_peer(gossip: Gossip, other: str, address: str) -> Gossip | None:
        return await transport.probe(Host(other, "z", address), gossip, SHORT_TIMEOUT_S)

    await transport.open(host.address, receive_probe, probe_for_peer)
    return transport, host, received


async def check_probes() -> None:
    (a, _, _), (b, host_b, received), (c, host_c, _) = [
        await open_transport(name) for name in "abc"
    ]
    unresponsive = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    unresponsive.bind(("127.0.0.1", 0))
    unresponsive_host = Host("d", "z", f"127.0.0.1:{unresponsive.getsockname()[1]}")
    host_without_socket = Host("e", "z", f"127.0.0.1:{free_port()}")
    assert (await a.probe(host_b, GOSSIP, TIMEOUT_S)).sender.name == "b"
    assert received == [GOSSIP]
    assert await a.probe(unresponsive_host, GOSSIP, SHORT_TIMEOUT_S) is None
    assert await a.probe(host_without_socket, GOSSIP, SHORT_TIMEOUT_S) is None
    assert (await a.probe_indirectly(host_b, GOSSIP, host_c, TIMEOUT_S)).sender.name == "c"
    assert await a.probe_indirectly(host_b, GOSSIP, unresponsive_host, TIMEOUT_S) is None
    ip, port = host_b.address.split(":")
    for data in (b"", b"junk", invalid_probe(INVALID_GOSSIP[0][1]), encode(Roster())):
        unresponsive.sendto(data, (ip, int(port)))
    assert (await a.probe(host_b, GOSSIP, TIMEOUT_S)).sender.name == "b"
    unresponsive.close()
    for transport in (a, b, c):
        transport.close()


def test_probes_are_acknowledged_also_after_timeouts_and_malformed_datagrams():
    asyncio.run(check_probes())


async def check_host_table_fetch() -> None:
    async def get_host_table(gossip: Gossip) -> Gossip:
        return GOSSIP

    unresponsive = await asyncio.start_server(lambda r, w: r.read(), "127.0.0.1", 0)
    ip, port = unresponsive.sockets[0].getsockname()
    host = Host("a", "z", f"{ip}:{port}")
    client = GrpcHostTableClient()
    assert await client.fetch(host, GOSSIP, SHORT_TIMEOUT_S) is None
    unresponsive.close()
    server = PeerServer(Chain((), None, SystemClock()), Publisher(), SystemClock())
    serve_host_table(server, get_host_table)
    await server.start(host.address)
    assert await client.fetch(host, GOSSIP, TIMEOUT_S) == GOSSIP
    await server.stop()


def test_fetch_after_a_timeout_opens_a_new_connection():
    asyncio.run(check_host_table_fetch())
