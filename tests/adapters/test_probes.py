"""Probes over real datagrams, and host tables over gRPC."""

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
SHORT_S = 0.1
MAX_DATAGRAM_BYTES = 1400


def member(number: int) -> MemberRecord:
    return MemberRecord(f"host-{number:010d}", "zone-0001", "10.100.100.100:9080", 1796371194720, 3)


def target(number: int) -> TargetEntry:
    name = f"target-{number:010d}"
    found = Target(name, "forecast-llm", "zone-0001", "10.100.100.100:9080", TargetState.LEAVING)
    return TargetEntry(name, found, 1796371194720)


GOSSIP = Gossip(
    member(0),
    7,
    2**32 - 1,
    2**32 - 2,
    (member(1).with_state(HostState.DEAD),),
    (target(1), TargetEntry("gone", None, 5)),
    (LoadDigest(2**32 - 1, 1.5, (ServiceLoadSummary(1, 2, 3, 4), ServiceLoadSummary(5, 6, 7, 8))),),
    (LoadDigest(9, 0.0, ()),),
)


def test_gossip_comes_back_as_it_was():
    found = decode(encode(Probe(3, to_wire(GOSSIP))))
    assert (found.number, gossip_from_wire(found.gossip)) == (3, GOSSIP)


def test_a_delta_comes_back_as_it_was():
    host = Host("a", "z", "1:1", HostState.DAMPED)
    delta = RosterDelta((host,), (target(1).target,), ("b",), ("c",))
    assert decode(encode(delta)) == delta


BAD = [
    ("member state", lambda raw: raw[0].__setitem__(5, 99)),
    ("cut counts", lambda raw: raw[6].append([1, 2, [1, 2, 3]])),
]


def malformed(change) -> bytes:
    import msgspec

    number, (count, raw) = msgspec.msgpack.decode(encode(Probe(1, to_wire(GOSSIP))))
    change(raw)
    return msgspec.msgpack.encode((number, (count, raw)))


@pytest.mark.parametrize(("case", "change"), BAD, ids=[case for case, _ in BAD])
def test_values_out_of_range_are_refused(case, change):
    with pytest.raises((ValueError, MalformedMessage)):
        gossip_from_wire(decode(malformed(change)).gossip)


def test_the_fullest_message_fits_into_a_datagram():
    names = [f"service-{n}" for n in range(7)]
    full = load_digest("zone", [ServiceDigest(name, 5000, 5000, 5000) for name in names])
    host = load_digest("host", [ServiceDigest(name, 500, 10, 10) for name in names[:2]])
    news = tuple(member(n) for n in range(8))
    gossip = Gossip(member(0), 10**6, 2**32 - 1, 2**32 - 1, news, (), (host,) * 16, (full,) * 3)
    assert len(encode(Probe(10**6, to_wire(gossip)))) <= MAX_DATAGRAM_BYTES


async def opened(name: str) -> tuple[UdpProbeTransport, Host, list[Gossip]]:
    """Return a link that answers as host `name`, and what it heard."""
    link, heard = UdpProbeTransport(), []
    host = Host(name, "z", f"127.0.0.1:{free_port()}")

    async def hear(gossip: Gossip) -> Gossip:
        heard.append(gossip)
        return Gossip(MemberRecord(name, "z", host.address))

    async def help_probe(gossip: Gossip, other: str, address: str) -> Gossip | None:
        return await link.probe(Host(other, "z", address), gossip, SHORT_S)

    await link.open(host.address, hear, help_probe)
    return link, host, heard


async def check_probes() -> None:
    (a, _, _), (b, at_b, heard), (c, at_c, _) = [await opened(name) for name in "abc"]
    silent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    silent.bind(("127.0.0.1", 0))
    at_silent = Host("d", "z", f"127.0.0.1:{silent.getsockname()[1]}")
    at_closed = Host("e", "z", f"127.0.0.1:{free_port()}")
    assert (await a.probe(at_b, GOSSIP, TIMEOUT_S)).sender.name == "b"
    assert heard == [GOSSIP]
    assert await a.probe(at_silent, GOSSIP, SHORT_S) is None
    assert await a.probe(at_closed, GOSSIP, SHORT_S) is None
    assert (await a.probe_for(at_b, GOSSIP, at_c, TIMEOUT_S)).sender.name == "c"
    assert await a.probe_for(at_b, GOSSIP, at_silent, TIMEOUT_S) is None
    ip, port = at_b.address.split(":")
    for data in (b"", b"junk", malformed(BAD[0][1]), encode(Roster())):
        silent.sendto(data, (ip, int(port)))
    assert (await a.probe(at_b, GOSSIP, TIMEOUT_S)).sender.name == "b"
    silent.close()
    for link in (a, b, c):
        link.close()


def test_probes_are_answered_and_silence_and_junk_do_no_harm():
    asyncio.run(check_probes())


async def check_tables() -> None:
    async def table(gossip: Gossip) -> Gossip:
        return GOSSIP

    silent = await asyncio.start_server(lambda r, w: r.read(), "127.0.0.1", 0)
    ip, port = silent.sockets[0].getsockname()
    at_silent = Host("a", "z", f"{ip}:{port}")
    link = GrpcHostTableClient()
    assert await link.fetch(at_silent, GOSSIP, SHORT_S) is None
    silent.close()
    server = PeerServer(Chain((), None, SystemClock()), Publisher(), SystemClock())
    serve_host_table(server, table)
    await server.start(at_silent.address)
    assert await link.fetch(at_silent, GOSSIP, TIMEOUT_S) == GOSSIP
    await server.stop()


def test_a_silent_connection_is_abandoned_and_a_new_one_is_opened():
    asyncio.run(check_tables())
