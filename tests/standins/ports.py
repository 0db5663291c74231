"""Hand out ports for processes whose address must be listed before they start.

A port that the system chose and that was closed again may be given to any outgoing connection
before the process binds it. So ports are taken from below the range that the system gives to
outgoing connections. Test runs that go on at the same time take different blocks of ports: the
first port of a block stays bound for as long as the run lives.
"""

import socket
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from itertools import cycle

LOOPBACK = "127.0.0.1"
FIRST_PORT = 20_000
BLOCK_PORTS = 400
BLOCKS = 30
RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"


def free_port() -> int:
    """Return a port that neither TCP nor UDP uses and that nothing is given by the system."""
    _, ports = _block()
    for _ in range(BLOCK_PORTS):
        port = next(ports)
        if _is_free(port):
            return port
    raise RuntimeError(f"all {BLOCK_PORTS} ports of this run are in use")


@cache
def _block() -> tuple[socket.socket, Iterator[int]]:
    """Return the socket that holds the block of this process, and the block's other ports."""
    check_range(_first_outgoing_port())
    for first in range(FIRST_PORT, FIRST_PORT + BLOCKS * BLOCK_PORTS, BLOCK_PORTS):
        holder = socket.socket()
        with suppress(OSError):
            holder.bind((LOOPBACK, first))
            return holder, cycle(range(first + 1, first + BLOCK_PORTS))
        holder.close()
    raise RuntimeError(f"{BLOCKS} test runs hold all blocks of ports")


def check_range(first_outgoing_port: int) -> None:
    """Raise RuntimeError if outgoing connections may take ports of the blocks."""
    if first_outgoing_port < FIRST_PORT + BLOCKS * BLOCK_PORTS:
        raise RuntimeError(f"outgoing connections take ports from {first_outgoing_port} on")


def _first_outgoing_port() -> int:
    """Return the lowest port that the system gives to outgoing connections."""
    with open(RANGE_FILE) as file:
        return int(file.read().split()[0])


def _is_free(port: int) -> bool:
    """Return whether `port` can be bound for TCP and for UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
