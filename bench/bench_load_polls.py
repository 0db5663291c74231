"""What the polls of targets' loads cost a node: bytes on the wire and processor time."""

import asyncio
from time import process_time

from almondspindle.adapters.target.load import HttpLoadReportClient
from almondspindle.conf.router import RouterCfg
from bench.output import figure
from tests.standins.engine import Engine

TARGETS_PER_NODE = 10
POLLS = 300
PACKET_HEADER_BYTES = 40  # IPv4 and TCP without options
PACKETS_PER_POLL = 10  # handshake 3, request and answer with acknowledgements 4, close 3
US_PER_S = 1e6


class CountingRelay:
    """Pass bytes between one client and the engine, and count them."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.carried = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        upstream, target = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(self._copy(reader, target), self._copy(upstream, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.carried += len(data)
            writer.write(data)
        writer.close()


async def measure() -> None:
    """Print bytes and processor time of polls at the set interval."""
    engine = Engine("e", age_s=60.0)
    engine.start()
    relay = CountingRelay(engine.address)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    link = HttpLoadReportClient()
    began = process_time()
    for _ in range(POLLS):
        assert (await link.read(address)).is_ok()
    spent_s = (process_time() - began) / POLLS
    polls_per_s = TARGETS_PER_NODE / RouterCfg.model_fields["load_poll_s"].default
    payload = relay.carried / POLLS
    on_wire = payload + PACKETS_PER_POLL * PACKET_HEADER_BYTES
    figure("load_poll_payload_bytes", payload, "bytes")
    figure("load_poll_bytes_per_s_node", on_wire * polls_per_s, "bytes/s")
    figure("load_poll_cpu_us_with_stand_in", spent_s * US_PER_S, "us")
    figure("load_poll_core_share_node_upper", spent_s * polls_per_s, "share")
    server.close()
    await engine.stop()


def run() -> None:
    """Print the figures."""
    asyncio.run(measure())
