"""Fetch and serve full host tables over gRPC. They are too large for a datagram."""

from collections.abc import Awaitable, Callable

from grpc import aio

from almondspindle.adapters.peer.base import HOST_TABLE, OPTIONS, method_path
from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.adapters.peer.probe_messages import Probe, ProbeAck, gossip_from_wire, to_wire
from almondspindle.adapters.peer.server import PeerServer
from almondspindle.core.members import Gossip
from almondspindle.core.roster import Host

# With the shared pool, a new channel would reuse the connection of an earlier one, which may be
# unresponsive.
FETCH_OPTIONS = [*OPTIONS, ("grpc.use_local_subchannel_pool", 1)]


class GrpcHostTableClient:
    """Fetch the host tables of peers, each over a new connection."""

    async def fetch(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        """Send `gossip` to `host`; return its host table, or None after a time-out or an error."""
        async with aio.insecure_channel(host.address, options=FETCH_OPTIONS) as channel:
            call = channel.unary_unary(
                method_path(HOST_TABLE), request_serializer=encode, response_deserializer=decode
            )
            try:
                ack = await call(Probe(0, to_wire(gossip)), timeout=timeout_s)  # type: ignore[arg-type]
                return gossip_from_wire(ack.gossip)
            except (aio.AioRpcError, MalformedMessage, ValueError):
                return None


def serve_host_table(
    server: PeerServer, get_host_table: Callable[[Gossip], Awaitable[Gossip]]
) -> None:
    """Serve this host's table on `server`. Call before the server is started."""

    async def handle(req: Probe) -> ProbeAck:
        table = await get_host_table(gossip_from_wire(req.gossip))
        return ProbeAck(0, to_wire(table))  # type: ignore[arg-type]

    server.add_method(HOST_TABLE, handle)
