"""The cost of load polls to a node: bytes on the wire and CPU time."""

import asyncio
from time import process_time

from almondspindle.adapters.target.load import HttpLoadReportClient
from almondspindle.conf.router import RouterCfg
from bench.output import print_figure
from tests.standins.engine import Engine

TARGETS_PER_NODE = 10
POLLS = 300
PACKET_HEADER_BYTES = 40  # IPv4 and TCP without options
PACKETS_PER_POLL = 10  # handshake 3, request and response with acknowledgements 4, close 3
US_PER_S = 1e6


class CountingProxy:
    """A TCP proxy between a client and the engine that counts the bytes."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.byte_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both sides have closed it."""
        upstream_reader, upstream_writer = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
        )

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def measure() -> None:
    """Print the bytes and CPU time of polls at the default interval.

    The CPU time includes the stand-in engine and the proxy, so it is an upper limit.
    """
    engine = Engine("e", age_s=60.0)
    engine.start()
    relay = CountingProxy(engine.address)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = HttpLoadReportClient()
    cpu_start_s = process_time()
    for _ in range(POLLS):
        assert (await client.read(address)).is_ok()
    cpu_s_per_poll = (process_time() - cpu_start_s) / POLLS
    polls_per_s = TARGETS_PER_NODE / RouterCfg.model_fields["load_poll_s"].default
    payload_bytes = relay.byte_count / POLLS
    wire_bytes = payload_bytes + PACKETS_PER_POLL * PACKET_HEADER_BYTES
    print_figure("load_poll_payload_bytes", payload_bytes, "bytes")
    print_figure("load_poll_bytes_per_s_node", wire_bytes * polls_per_s, "bytes/s")
    print_figure("load_poll_cpu_us_with_stand_in", cpu_s_per_poll * US_PER_S, "us")
    print_figure("load_poll_core_share_node_upper", cpu_s_per_poll * polls_per_s, "share")
    server.close()
    await engine.stop()


def run() -> None:
    """Print the figures."""
    asyncio.run(measure())
